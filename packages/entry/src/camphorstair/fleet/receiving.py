"""Handles callers' requests: has them forwarded and answers them."""

import logging
from collections import abc

import attrs
import curio

from camphorstair.fleet import (
    admission,
    calls,
    dispatch,
    forwarding,
    holding,
    state,
)
from camphorstair_core import errors, verdicts
from camphorstair_core.fleet import (
    content_age,
    held_bytes,
)
from camphorstair_platform import headers
from camphorstair_runtime import (
    clocks,
    http_messages,
    http_server,
    tracebacks,
)

# Time after the deadline for the endpoint to answer that it stopped.
ENDPOINT_GRACE_S = 0.1
# Logged in place of an infinite age, before the store has answered once.
UNCONFIRMED_AGE_S = 1e6

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Receiver:
    """Handles callers' requests.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    :ivar admitter: Checks and routes requests.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    admitter: admission.Admission = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the part that checks and routes requests."""
        self.admitter = admission.Admission(self.entry, self.dispatcher)

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
            call = self.admitter.admit(request, responder)
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
            # Errors on their way refer to the request, and may do so for long.
            request.body = b''

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
        group = curio.TaskGroup(wait=any)
        try:
            async with group:
                running = await group.spawn(_run_to_outcome, request_forwarding)
                await group.spawn(_wait_disconnected, call.responder, call.held)
        finally:
            tracebacks.clear_locals(task.exception for task in group.tasks)
        if running.cancelled:
            raise self._interruption(call)
        if running.exception is not None:
            raise _internal_error(running.exception)
        if running.result is not None:
            raise running.result

    def _interruption(self, call: calls.Call) -> Exception:
        """Return the error for a request that was interrupted."""
        if self.entry.ended:
            return admission.leaving_error(call.verdict_now())
        return http_server.Disconnected('the caller has disconnected')

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
        status = errors.status_of(error)
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


async def _wait_disconnected(
    responder: http_server.Responder, held: holding.Holding | None
) -> None:
    """Return when the caller has closed the connection.

    Never return if the endpoint's answer is to be read to its end although it
    was ended.
    """
    await responder.wait_disconnected()
    if held is not None and held.reads_on():
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
