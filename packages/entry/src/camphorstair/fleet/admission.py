"""Checks and routes callers' requests before they are forwarded."""

import attrs

from camphorstair.fleet import calls, dispatch, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    answer_durations,
    catalogue,
    content_age,
    stream_progress,
    waiting,
    work_estimates,
)
from camphorstair_platform import headers
from camphorstair_runtime import clocks, http_messages, http_server

# Time limit of a request whose caller gives none.
DEFAULT_LIMIT_S = 60.0
# Retry-after of an entry that shuts down: the directory names others already.
LEAVING_RETRY_AFTER_S = 0.1


@attrs.define(eq=False)
class Admission:
    """Decides which requests are forwarded, and to which service.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher

    def admit(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> calls.Call:
        """Return the call for a request, routed and with its deadlines.

        :raises errors.RequestError: if there is no configuration or no route,
            the caller is not authorized, or this entry stops too soon.
        """
        self._check_serving()
        configuration = self._configuration()
        route = configuration.find_route(request.header('host'), request.path)
        if route is None:
            raise errors.RequestError(
                errors.unknown_path, f'no route for {request.path}'
            )
        caller_headers = headers.decode_caller(request)
        now_s = clocks.monotonic_s()
        waiter = _waiter(
            route,
            self._organisation(configuration, route, caller_headers),
            now_s,
        )
        identity = calls.identity_of(
            request, waiter.organisation or caller_headers.key
        )
        waiter.request = caller_headers.attempt
        waiter.suspects = (identity, *caller_headers.prompt_parts)
        service = self._service(route)
        work = work_estimates.Work(0, 0)
        if configuration.is_ranked(service):
            waiter.identity = identity
            work = self._estimate(configuration, route, service, caller_headers)
            self.dispatcher.ranked.note_arrival(waiter, work, now_s)
        deadline_s = self._set_deadlines(
            waiter, route, now_s, caller_headers.limit_s or DEFAULT_LIMIT_S
        )
        self._check_can_end(waiter, now_s)
        return calls.Call(
            request=request,
            caller_headers=caller_headers,
            route=route,
            version=configuration.version,
            service=service,
            organisation=waiter.organisation,
            identity=identity,
            responder=responder,
            received_s=now_s,
            deadline_s=deadline_s,
            waiter=waiter,
            work=work,
            stream=stream_progress.StreamProgress(caller_headers.last_event),
        )

    def _set_deadlines(
        self,
        waiter: waiting.Waiter,
        route: catalogue.Route,
        now_s: float,
        caller_limit_s: float,
    ) -> float:
        """Set how long a request may wait; return when its answer is due."""
        deadline_s = now_s + min(route.timeout_s, caller_limit_s)
        elapsed_s = max(
            self.entry.caller_times.elapsed_s(route, caller_limit_s),
            now_s - waiter.arrived_s,
        )
        waiting.set_deadlines(waiter, route, now_s, deadline_s, elapsed_s)
        waiter.expected_answer_s = answer_durations.expected_s(
            self.entry.durations, route.name, deadline_s - now_s
        )
        waiting.limit_start(waiter, self.entry.stop_s)
        return deadline_s

    def _estimate(
        self,
        configuration: catalogue.Catalogue,
        route: catalogue.Route,
        service: str,
        caller_headers: headers.CallerHeaders,
    ) -> work_estimates.Work:
        """Return the estimated work of a request."""
        configured = configuration.services.get(service)
        size = work_estimates.RequestSize(
            caller_headers.prompt_tokens, caller_headers.answer_tokens
        )
        return work_estimates.estimate(
            self.dispatcher.ranked.estimates,
            route,
            size,
            configured.engine if configured else None,
        )

    def _check_serving(self) -> None:
        """Refuse a request that comes late in a shutdown.

        :raises errors.RequestError: if no answer may be begun any more.
        """
        if clocks.monotonic_s() >= self.entry.refuse_from_s:
            raise leaving_error(verdicts.Verdict.not_run)

    def _configuration(self) -> catalogue.Catalogue:
        """Return the configuration in force.

        :raises errors.RequestError: if there is none, or a later one may have
            been lost by the store.
        """
        configuration = self.entry.configuration
        message = 'no configuration is known yet'
        if configuration is not None:
            if self.entry.informed:
                return configuration
            message = 'a later configuration may have been lost'
        raise errors.RequestError(
            errors.no_configuration,
            message,
            retry_after_s=dispatch.RETRY_AFTER_S,
        )

    def _check_can_end(self, waiter: waiting.Waiter, now_s: float) -> None:
        """Refuse a request whose answer may not end before the process does.

        :raises errors.RequestError: if so.
        """
        if now_s + waiter.expected_answer_s > self.entry.stop_s:
            raise leaving_error(verdicts.Verdict.not_run)

    def _organisation(
        self,
        configuration: catalogue.Catalogue,
        route: catalogue.Route,
        caller_headers: headers.CallerHeaders,
    ) -> catalogue.Organisation | None:
        """Return the organisation that sent a request, or None.

        It may be None only on public routes and where no keys are configured.

        :raises errors.RequestError: if the key is missing or unknown, or if
            keys may have been revoked since the configuration was last
            confirmed.
        """
        if configuration.organisations is None:
            return None
        organisation = configuration.organisations.get(caller_headers.key)
        if route.public:
            return organisation
        if not caller_headers.key:
            raise errors.RequestError(errors.unauthorized, 'a key is needed')
        self._check_keys_current()
        if organisation is None:
            raise errors.RequestError(errors.unauthorized, 'unknown key')
        return organisation

    def _check_keys_current(self) -> None:
        """Raise an error if revoked keys might still be accepted.

        :raises errors.RequestError: if the last confirmation is too old.
        """
        if self.entry.keys_current():
            return
        age_s = content_age.age_s(self.entry.freshness, clocks.boottime_s())
        raise errors.RequestError(
            errors.no_configuration,
            f'keys were last confirmed {age_s:.1f} s ago',
            retry_after_s=dispatch.RETRY_AFTER_S,
        )

    def _service(self, route: catalogue.Route) -> str:
        """Return a service of the route, chosen at random by weight.

        The first one is used if all weights are 0.
        """
        weights = [split.weight for split in route.services]
        if len(weights) == 1 or not sum(weights):
            return route.services[0].service
        chosen = self.entry.generator.choices(route.services, weights)[0]
        return chosen.service


def leaving_error(verdict: verdicts.Verdict) -> errors.RequestError:
    """Return the error for a request that a shutdown leaves unanswered."""
    not_run = verdict is verdicts.Verdict.not_run
    return errors.RequestError(
        errors.leaving,
        'this entry is shutting down',
        verdict,
        retry_after_s=LEAVING_RETRY_AFTER_S if not_run else None,
    )


def _waiter(
    route: catalogue.Route,
    organisation: catalogue.Organisation | None,
    now_s: float,
) -> waiting.Waiter:
    """Return the queue entry of a request that arrives now.

    The organisation's priority, if it has one, replaces the route's.
    """
    priority = route.priority
    if organisation and organisation.priority is not None:
        priority = organisation.priority
    name = organisation.name if organisation else ''
    return waiting.Waiter(name, priority, now_s)
