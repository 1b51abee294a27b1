"""Takes callers' requests: decides on them and answers them."""

import logging

import attrs
import curio

from camphorstair.fleet import calls, dispatch, forwarding, state
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    catalogue,
    knowledge,
    stream_progress,
    waiting,
)
from camphorstair_platform import headers
from camphorstair_runtime import clocks, http_messages, http_server

DEFAULT_LIMIT_S = 60.0
# An endpoint that stops at the deadline says so itself within this time.
ENDPOINT_GRACE_S = 0.1
# Stands in logs for an age without bound.
NEVER_CONFIRMED_S = 1e6

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Receiver:
    """Handles callers' requests.

    :ivar entry: The entry's state.
    :ivar dispatcher: Hands out endpoints.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answer one request; every failure becomes an answer too."""
        try:
            call = self._decide(request, responder)
        except errors.RequestError as error:
            await self._refuse(request, responder, error)
            return
        remaining_s = call.deadline_s - clocks.monotonic_s()
        limit_s = remaining_s + ENDPOINT_GRACE_S
        try:
            await curio.timeout_after(limit_s, self._forward, call)
        except curio.TaskTimeout:
            await self._refuse(request, responder, self._late(call))
        except errors.RequestError as failure:
            await self._refuse(request, responder, failure)

    async def _forward(self, call: calls.Call) -> None:
        work = forwarding.Forwarding(self.entry, self.dispatcher, call)
        async with curio.TaskGroup(wait=any) as group:
            running = await group.spawn(_outcome, work)
            await group.spawn(call.responder.wait_disconnected)
        if running.cancelled:
            raise http_server.Disconnected('the caller is gone')
        if running.exception is not None:
            raise _as_known(running.exception)
        if running.result is not None:
            raise running.result

    def _decide(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> calls.Call:
        known = self.entry.configuration
        if known is None:
            raise errors.RequestError(
                errors.no_configuration,
                'no configuration is known yet',
                retry_after_s=dispatch.RETRY_AFTER_S,
            )
        route = known.find_route(request.header('host'), request.path)
        if route is None:
            raise errors.RequestError(
                errors.unknown_path, f'no route for {request.path}'
            )
        given = headers.decode_caller(request)
        organisation = self._organisation(known, route, given)
        now_s = clocks.monotonic_s()
        given_s = given.limit_s or DEFAULT_LIMIT_S
        limit_s = min(route.timeout_s, given_s)
        waiter = _waiter(route, organisation, now_s)
        waiting.set_deadlines(
            waiter,
            route,
            now_s,
            now_s + limit_s,
            self.entry.patience.elapsed_s(route, given_s),
        )
        return calls.Call(
            request=request,
            given=given,
            route=route,
            version=known.version,
            service=self._service(route),
            organisation=organisation.name if organisation else '',
            responder=responder,
            received_s=now_s,
            deadline_s=now_s + limit_s,
            waiter=waiter,
            stream=stream_progress.StreamProgress(given.last_event),
        )

    def _organisation(
        self,
        known: catalogue.Catalogue,
        route: catalogue.Route,
        given: headers.CallerHeaders,
    ) -> catalogue.Organisation | None:
        """Return who sent a request.

        :raises errors.RequestError: if its key is unknown, or if keys may
            have been taken away since the configuration was last proved.
        """
        if known.organisations is None:
            return None
        found = known.organisations.get(given.key)
        if route.public:
            return found
        if not given.key:
            raise errors.RequestError(errors.unauthorized, 'a key is needed')
        self._check_age()
        if found is None:
            raise errors.RequestError(errors.unauthorized, 'unknown key')
        return found

    def _check_age(self) -> None:
        if self.entry.keys_current():
            return
        age_s = knowledge.age_s(self.entry.known, clocks.suspended_s())
        raise errors.RequestError(
            errors.no_configuration,
            f'keys were last confirmed {age_s:.1f} s ago',
            retry_after_s=dispatch.RETRY_AFTER_S,
        )

    def _service(self, route: catalogue.Route) -> str:
        weights = [one.weight for one in route.services]
        if len(weights) == 1 or not sum(weights):
            return route.services[0].service
        chosen = self.entry.generator.choices(route.services, weights)[0]
        return chosen.service

    async def _refuse(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
        error: errors.RequestError,
    ) -> None:
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
        if responder.started or responder.torn:
            raise http_server.Disconnected('the answer can not be completed')
        body = http_messages.envelope(error)
        response = http_messages.json_response(status, body)
        response.headers.extend(headers.refusal(attempt))
        if error.retry_after_s is not None:
            seconds = f'{error.retry_after_s:.2f}'
            response.headers.append(('retry-after', seconds))
        await responder.respond(response)

    def _age_s(self) -> float:
        age_s = knowledge.age_s(self.entry.known, clocks.suspended_s())
        return round(min(age_s, NEVER_CONFIRMED_S), 2)

    def _late(self, call: calls.Call) -> errors.RequestError:
        """Return the error of a request whose time is over."""
        if call.sent or call.verdict is not verdicts.Verdict.not_run:
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
    priority = route.priority
    if organisation and organisation.priority is not None:
        priority = organisation.priority
    name = organisation.name if organisation else ''
    return waiting.Waiter(name, priority, now_s)


async def _outcome(work: forwarding.Forwarding) -> Exception | None:
    """Return the expected errors, as a task that raises is logged at length."""
    try:
        await work.run()
    except (errors.RequestError, http_server.Disconnected) as failure:
        return failure
    return None


def _as_known(failure: BaseException) -> errors.RequestError:
    """Return the error that a caller is told for one that is not expected."""
    _LOG.error('request failed', exc_info=failure)
    return errors.RequestError(
        errors.internal_error,
        type(failure).__name__,
        verdicts.Verdict.may_have_run,
    )
