"""Handles callers' requests: authorizes, routes and answers them."""

import logging
from collections import abc

import attrs
import curio

from camphorstair.fleet import calls, dispatch, forwarding, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    catalogue,
    content_age,
    held_bytes,
    stream_progress,
    waiting,
    work_estimates,
)
from camphorstair_platform import headers
from camphorstair_runtime import clocks, http_messages, http_server

# Time limit of a request whose caller gives none.
DEFAULT_LIMIT_S = 60.0
# Time after the deadline for the endpoint to answer that it stopped.
ENDPOINT_GRACE_S = 0.1
# Retry-after of an entry that shuts down: the directory names others already.
LEAVING_RETRY_AFTER_S = 0.1
# Logged in place of an infinite age, before the store has answered once.
UNCONFIRMED_AGE_S = 1e6

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Receiver:
    """Handles callers' requests.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one request; failures are answered with an error.

        :raises http_server.Disconnected: if the caller has disconnected or a
            started answer can't be completed.
        """
        try:
            call = self._prepare_call(request, responder)
        except errors.RequestError as error:
            await self._refuse(request, responder, error)
            return
        remaining_s = call.deadline_s - clocks.monotonic_s()
        limit_s = remaining_s + ENDPOINT_GRACE_S
        forward = self._forward
        if self.entry.settings.bounds_slow_peers:
            forward = self._forward_bounded
        try:
            await curio.timeout_after(limit_s, forward, call)
        except curio.TaskTimeout:
            await self._refuse_call(call, self._timeout_error(call))
        except errors.RequestError as failure:
            await self._refuse_call(call, failure)
        finally:
            await self.entry.kept_answers.free(call.kept_answer)

    async def _forward_bounded(self, call: calls.Call) -> None:
        """Forward a request and bound what is held for slow peers.

        :raises errors.RequestError: if it fails.
        :raises http_server.Disconnected: if the caller disconnects or the
            answer was ended.
        """
        account = held_bytes.Account(
            call.waiter.priority, call.route.repeatable()
        )
        call.held = self.entry.held.open(
            call.caller_headers.attempt, account, call.responder
        )
        try:
            await self._forward(call)
        finally:
            await call.held.close()

    async def _forward(self, call: calls.Call) -> None:
        """Forward a request until it ends or the caller disconnects.

        :raises errors.RequestError: if it fails.
        :raises http_server.Disconnected: if the caller disconnects.
        """
        request_forwarding = forwarding.Forwarding(
            self.entry, self.dispatcher, call
        )
        async with curio.TaskGroup(wait=any) as group:
            running = await group.spawn(_run_to_outcome, request_forwarding)
            await group.spawn(_wait_disconnected, call)
        if running.cancelled:
            raise http_server.Disconnected('the caller has disconnected')
        if running.exception is not None:
            raise _internal_error(running.exception)
        if running.result is not None:
            raise running.result

    def _prepare_call(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> calls.Call:
        """Return the call for a request, routed and with its deadlines.

        :raises errors.RequestError: if there is no configuration or no route,
            or the caller is not authorized.
        """
        self._check_serving()
        configuration = self.entry.configuration
        if configuration is None:
            raise errors.RequestError(
                errors.no_configuration,
                'no configuration is known yet',
                retry_after_s=dispatch.RETRY_AFTER_S,
            )
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
            raise errors.RequestError(
                errors.leaving,
                'this entry is shutting down',
                retry_after_s=LEAVING_RETRY_AFTER_S,
            )

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

    async def _refuse_call(
        self,
        call: calls.Call,
        error: errors.RequestError,
    ) -> None:
        """Send an error answer to a request that was routed.

        :raises http_server.Disconnected: if the answer has begun already.
        """
        if call.waiter.identity and error.retry_after_s is not None:
            self.dispatcher.ranked.note_refused(
                call.waiter, error.retry_after_s
            )
        await self._refuse(call.request, call.responder, error)

    async def _refuse(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
        error: errors.RequestError,
    ) -> None:
        """Count, log and send an error answer.

        :raises http_server.Disconnected: if the answer has begun already.
        """
        attempt = headers.decode_caller(request).attempt
        status = dispatch.status_of(error)
        self.entry.meters.refusals.add(1, {'code': error.code.name})
        _LOG.info(
            'refused: %s',
            error,
            extra={
                'request': attempt,
                'status': status,
                'verdict': error.verdict.value,
                'age_s': self._age_s(),
            },
        )
        if responder.started or responder.partially_sent:
            raise http_server.Disconnected(
                'the started answer can not be completed'
            )
        body = http_messages.envelope(error)
        response = http_messages.json_response(status, body)
        response.headers.extend(headers.refusal(attempt))
        if error.retry_after_s is not None:
            seconds = f'{error.retry_after_s:.2f}'
            response.headers.append(('retry-after', seconds))
        await responder.respond(response)

    def _age_s(self) -> float:
        """Return the age of the store's content for the log, in seconds."""
        age_s = content_age.age_s(self.entry.freshness, clocks.boottime_s())
        return round(min(age_s, UNCONFIRMED_AGE_S), 2)

    def _timeout_error(self, call: calls.Call) -> errors.RequestError:
        """Return the error for a request that was not answered in time."""
        if call.verdict_now() is not verdicts.Verdict.not_run:
            return errors.RequestError(
                errors.deadline_exceeded,
                'the deadline has passed',
                verdicts.Verdict.may_have_run,
            )
        return self.dispatcher.refusal(
            call.service, errors.overloaded, 'no endpoint was free in time'
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


async def _wait_disconnected(call: calls.Call) -> None:
    """Return when the caller has closed the connection.

    Never return if the endpoint's answer is to be read to its end although it
    was ended.
    """
    await call.responder.wait_disconnected()
    if call.held is not None and call.held.reads_on():
        await curio.Event().wait()


async def _run_to_outcome(
    request_forwarding: forwarding.Forwarding,
) -> Exception | None:
    """Run a forwarding; return an expected error rather than raising it.

    Bytes that are held for the caller are sent even after an error, so that it
    can resume after the last event that its endpoint has sent.
    """
    outcome = await _outcome(request_forwarding.run)
    held = request_forwarding.call.held
    if held is None or isinstance(outcome, http_server.Disconnected):
        return outcome
    return await _outcome(held.drain) or outcome


async def _outcome(
    step: abc.Callable[[], abc.Awaitable[None]],
) -> Exception | None:
    """Run a step; return an expected error rather than raising it.

    Curio logs a traceback for each task that raises.
    """
    try:
        await step()
    except (errors.RequestError, http_server.Disconnected) as failure:
        return failure
    return None


def _internal_error(failure: BaseException) -> errors.RequestError:
    """Log an unexpected exception and return the error for the caller."""
    _LOG.error('request failed', exc_info=failure)
    return errors.RequestError(
        errors.internal_error,
        type(failure).__name__,
        verdicts.Verdict.may_have_run,
    )
