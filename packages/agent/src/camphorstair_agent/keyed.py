"""Runs non-idempotent requests with an idempotency key at most once."""

import logging

import attrs
import curio

from camphorstair_agent import admission_queue
from camphorstair_core import (
    admission,
    errors,
    idempotency,
    keys,
    messages,
    ownership,
    queueing,
    verdicts,
)
from camphorstair_runtime import (
    clocks,
    http_client,
    http_messages,
    links,
    metrics,
)

CHUNK_BYTES = 65536
RETRY_AFTER_MS = 1000
HANDOVER_WAIT_LIMIT_S = 2.0
HANDOVER_POLL_INTERVAL_S = 0.05
REPLAYED_HEADER = ('idempotent-replayed', 'true')
_MS_IN_S = 1000

_LOG = logging.getLogger(__name__)


@attrs.define
class Run:
    """A request in progress; repeats of the request wait for its result.

    :ivar waiter: The admitted place in the admission queue.
    :ivar ended: Set when the request has ended.
    :ivar answer: The response, if it was received completely.
    :ivar verdict: Whether the endpoint may have run the request.
    :ivar failure: The error message; empty if there was no error.
    :ivar outcome: How the admission control counts the request.
    """

    waiter: queueing.Waiter
    ended: curio.Event = attrs.field(factory=curio.Event)
    answer: idempotency.StoredAnswer | None = None
    verdict: verdicts.Verdict = verdicts.Verdict.may_have_run
    failure: str = ''
    outcome: admission.Outcome = admission.Outcome.given_up


@attrs.define
class KeyedRelay:
    """Runs each idempotency key at most once and stores the responses.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar admission_queue: The admission control with its queue.
    :ivar instruments: Counters and histograms of the agent.
    :ivar claims: The key slots that this agent owns.
    :ivar table: The keys that this agent has run, with stored responses.
    :ivar runs: The requests in progress, by the digest of their key.
    """

    address: str
    admission_queue: admission_queue.AdmissionQueue
    instruments: metrics.Instruments
    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(
        factory=idempotency.KeyTable,
    )
    runs: dict[str, Run] = attrs.field(factory=dict)

    @property
    def gate(self) -> admission.Admission:
        """The admission control of the endpoint."""
        return self.admission_queue.gate

    async def run(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> None:
        """Run a request, or return the result of an earlier one with its key.

        :param link: The link to the entry, which gets the response.
        :param start: The request.
        :raises links.LinkError: if the entry closed the link.
        """
        request = keys.keyed_request(start)
        finding = await self._look_up(request)
        self.instruments.keyed.add(1, {'finding': finding.value})
        refusal = self._refusal_code(finding)
        if refusal:
            await link.send(self._refusal_message(start, refusal, request))
        elif finding is idempotency.KeyStatus.first:
            await self._start_run(link, start, request)
        elif finding is idempotency.KeyStatus.running:
            await self._send_result(link, start, self.runs[request.digest])
        else:
            await self._send_recorded_result(link, start, request, finding)

    async def _look_up(
        self, request: keys.KeyedRequest
    ) -> idempotency.KeyStatus:
        """Look up a request in the key table.

        Waits for a limited time while the key's slot changes owners.
        """
        deadline_s = clocks.monotonic_s() + HANDOVER_WAIT_LIMIT_S
        while True:
            now = clocks.moment()
            finding = idempotency.find(self.table, request, self.claims, now)
            if finding is not idempotency.KeyStatus.not_owner:
                return finding
            slot = keys.slot_of(request.digest)
            is_moving = ownership.awaits_owner(self.claims, slot)
            if not is_moving or now.monotonic_s >= deadline_s:
                return finding
            await curio.sleep(HANDOVER_POLL_INTERVAL_S)

    def _refusal_code(
        self,
        finding: idempotency.KeyStatus,
    ) -> str:
        """Return the error code of a refusal, or '' if there is none."""
        if finding is idempotency.KeyStatus.not_owner:
            return errors.not_owner.name
        if finding is idempotency.KeyStatus.full:
            return errors.overloaded.name
        return ''

    async def _start_run(
        self,
        link: links.Link,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
    ) -> None:
        """Start a request that keeps running after its entry has gone.

        Nothing is awaited between the lookup and recording the start, so a
        repeat can't start the request a second time.
        """
        waiter = self.admission_queue.try_admit(start)
        if waiter.turn is queueing.AdmissionState.refused:
            unavailable = self.gate.leaving or self.gate.out
            code = errors.leaving if unavailable else errors.overloaded
            await link.send(self._refusal_message(start, code.name, request))
            return
        remaining_s = start.remaining_ms / _MS_IN_S
        deadline_s = clocks.monotonic_s() + remaining_s
        idempotency.begin(self.table, request, clocks.epoch_s())
        run = Run(waiter)
        self.runs[request.digest] = run
        await curio.spawn(
            self._execute,
            start,
            request,
            run,
            deadline_s,
            daemon=True,
        )
        await self._send_result(link, start, run, first=True)

    async def _execute(
        self,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
        run: Run,
        deadline_s: float,
    ) -> None:
        """Send a request to the endpoint and record its result."""
        try:
            run.answer = await self._fetch(start, deadline_s)
            run.outcome = admission.Outcome.whole
        except (http_client.HttpError, curio.TaskTimeout) as error:
            run.failure = str(error) or type(error).__name__
            run.verdict = _verdict(error)
            if isinstance(error, http_client.HttpError):
                run.outcome = admission.Outcome.broken
            _LOG.warning(
                'endpoint failed: %s',
                run.failure,
                extra={
                    'request_id': start.request_id,
                    'verdict': run.verdict.value,
                },
            )
        finally:
            await self._finish_run(request, run)

    async def _fetch(
        self,
        start: messages.RequestStart,
        deadline_s: float,
    ) -> idempotency.StoredAnswer:
        """Return the endpoint's complete response.

        :param deadline_s: When the request times out; monotonic clock.
        :raises http_client.HttpError: if the request fails, or the deadline
            has passed before it is sent.
        :raises curio.TaskTimeout: if the deadline passes after that.
        """
        remaining_s = deadline_s - clocks.monotonic_s()
        if remaining_s <= 0:
            raise http_client.HttpError('the deadline has passed', sent=False)
        response = await curio.timeout_after(
            remaining_s,
            http_client.fetch,
            self.address,
            http_messages.Request(
                start.method,
                start.path,
                [*start.headers, ('x-request-id', start.request_id)],
                start.body,
            ),
        )
        return idempotency.StoredAnswer(
            response.status,
            http_messages.end_to_end(response.headers),
            response.body,
        )

    async def _finish_run(self, request: keys.KeyedRequest, run: Run) -> None:
        """Record the end of a request and notify the tasks that wait for it.

        A request that did not reach the endpoint is removed, so that its key
        can be run again.
        """
        self.runs.pop(request.digest)
        if run.verdict is verdicts.Verdict.not_run:
            idempotency.forget(self.table, request)
        else:
            idempotency.end(self.table, request, run.answer)
        await run.ended.set()
        await self.admission_queue.release(run.waiter, run.outcome)

    async def _send_result(
        self,
        link: links.Link,
        start: messages.RequestStart,
        run: Run,
        *,
        first: bool = False,
    ) -> None:
        """Wait until a request ends, then send its result.

        The wait is limited to the remaining time of ``start``.

        :param first: Whether this is the request itself and not a repeat.
        :raises links.LinkError: if the entry closes the link first.
        """
        async with curio.TaskGroup(wait=any) as group:
            waiting_task = await group.spawn(
                curio.ignore_after,
                start.remaining_ms / _MS_IN_S,
                run.ended.wait,
            )
            await group.spawn(link.wait_closed)
        if waiting_task.cancelled:
            raise links.LinkError('the entry closed the link')
        if run.answer is not None:
            await self._send_answer(link, start, run.answer, first=first)
            return
        await link.send(
            self._failure_message(
                start, errors.endpoint_failed, run.verdict, run.failure
            ),
        )

    async def _send_recorded_result(
        self,
        link: links.Link,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
        finding: idempotency.KeyStatus,
    ) -> None:
        """Send the recorded result of an earlier request, or an error."""
        row = self.table.rows.get(request.digest)
        key = start.idempotency_key
        if finding is idempotency.KeyStatus.reused:
            message = f'key "{key}" was used for another request'
            verdict = verdicts.Verdict.not_run
            code = errors.key_reused
            await link.send(
                self._failure_message(start, code, verdict, message)
            )
        elif row is not None and row.answer is not None:
            await self._send_answer(link, start, row.answer, first=False)
        else:
            message = f'a request with key "{key}" may have run already'
            verdict = verdicts.Verdict.may_have_run
            code = errors.may_have_run
            await link.send(
                self._failure_message(start, code, verdict, message)
            )

    async def _send_answer(
        self,
        link: links.Link,
        start: messages.RequestStart,
        answer: idempotency.StoredAnswer,
        *,
        first: bool,
    ) -> None:
        """Send a stored response in chunks, marked as replayed for a repeat."""
        request_ids = (start.request_id, start.attempt)
        load = self.gate.load()
        headers = (
            answer.headers if first else [*answer.headers, REPLAYED_HEADER]
        )
        await link.send(
            messages.ResponseHead(*request_ids, answer.status, headers, load),
        )
        sequence = 0
        for offset in range(0, len(answer.body), CHUNK_BYTES):
            sequence += 1
            chunk = answer.body[offset : offset + CHUNK_BYTES]
            await link.send(
                messages.ResponseChunk(*request_ids, sequence, 0, chunk)
            )
        await link.send(messages.ResponseEnd(*request_ids, sequence, load))

    def _failure_message(
        self,
        start: messages.RequestStart,
        code: errors.ErrorCode,
        verdict: verdicts.Verdict,
        message: str,
    ) -> messages.ResponseFailed:
        return messages.ResponseFailed(
            start.request_id,
            start.attempt,
            verdict,
            code.name,
            message,
            self.gate.load(),
        )

    def _refusal_message(
        self,
        start: messages.RequestStart,
        code: str,
        request: keys.KeyedRequest,
    ) -> messages.RequestRefused:
        self.instruments.refusals.add(1)
        slot = keys.slot_of(request.digest)
        name = self.claims.name
        return messages.RequestRefused(
            request_id=start.request_id,
            code=code,
            message=f'endpoint {name} cannot run the request now',
            retry_after_ms=RETRY_AFTER_MS,
            load=self.gate.load(),
            owner=ownership.owner_of(self.claims, slot),
        )


def _verdict(error: BaseException) -> verdicts.Verdict:
    """Return whether the endpoint may have run a request that failed."""
    if isinstance(error, http_client.HttpError) and not error.sent:
        return verdicts.Verdict.not_run
    return verdicts.Verdict.may_have_run
