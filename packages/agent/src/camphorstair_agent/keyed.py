"""Runs non-idempotent requests with a key, each at most once."""

import logging

import attrs
import curio

from camphorstair_core import (
    admission,
    errors,
    idempotency,
    keys,
    messages,
    ownership,
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
SETTLE_LIMIT_S = 2.0
SETTLE_INTERVAL_S = 0.05
REPLAYED = ('idempotent-replayed', 'true')
_MS_IN_S = 1000

_LOG = logging.getLogger(__name__)


@attrs.define
class Run:
    """A run in progress, which repeats join.

    :ivar generation: The generation that the admission gave.
    :ivar ended: Set when it has ended.
    :ivar answer: Its answer, if that came whole.
    :ivar verdict: What is known of the run.
    :ivar failure: What went wrong.
    :ivar outcome: What the admission learns of the endpoint.
    """

    generation: int
    ended: curio.Event = attrs.field(factory=curio.Event)
    answer: idempotency.StoredAnswer | None = None
    verdict: verdicts.Verdict = verdicts.Verdict.may_have_run
    failure: str = ''
    outcome: admission.Outcome = admission.Outcome.given_up


@attrs.define
class KeyedRelay:
    """What the agent needs to run each key at most once.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar gate: The admission.
    :ivar instruments: The metrics.
    :ivar claims: The slots of this agent.
    :ivar table: The keys that it has run.
    :ivar runs: The runs in progress, by the key's digest.
    """

    address: str
    gate: admission.Admission
    instruments: metrics.Instruments
    claims: ownership.Claims
    table: idempotency.KeyTable = attrs.field(
        factory=idempotency.KeyTable,
    )
    runs: dict[str, Run] = attrs.field(factory=dict)

    async def run(
        self,
        link: links.Link,
        start: messages.RequestStart,
    ) -> None:
        """Run a request, or answer it by what became of an earlier one."""
        request = keys.keyed_request(start)
        finding = await self._find(request)
        self.instruments.keyed.add(1, {'finding': finding.value})
        refusal = self._refusal(finding, request)
        if refusal:
            await link.send(self._refused(start, refusal, request))
        elif finding is idempotency.Finding.first:
            await self._begin(link, start, request)
        elif finding is idempotency.Finding.running:
            await self._join(link, start, self.runs[request.digest])
        else:
            await self._answer_row(link, start, request, finding)

    async def _find(self, request: keys.KeyedRequest) -> idempotency.Finding:
        """Look a request up; wait a moment for a slot that changes hands."""
        deadline_s = clocks.monotonic_s() + SETTLE_LIMIT_S
        while True:
            now = clocks.moment()
            finding = idempotency.find(self.table, request, self.claims, now)
            if finding is not idempotency.Finding.not_owner:
                return finding
            slot = keys.slot_of(request.digest)
            moves = ownership.moves(self.claims, slot)
            if not moves or now.monotonic_s >= deadline_s:
                return finding
            await curio.sleep(SETTLE_INTERVAL_S)

    def _refusal(
        self,
        finding: idempotency.Finding,
        request: keys.KeyedRequest,
    ) -> str:
        if finding is idempotency.Finding.not_owner:
            return errors.not_owner.name
        if finding is idempotency.Finding.full:
            return errors.overloaded.name
        if finding is idempotency.Finding.first:
            return admission.refusal(self.gate) or ''
        return ''

    async def _begin(
        self,
        link: links.Link,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
    ) -> None:
        """Begin a run that goes on when the entry is gone.

        Nothing is awaited between the look-up and the records of the start.
        """
        remaining_s = start.remaining_ms / _MS_IN_S
        deadline_s = clocks.monotonic_s() + remaining_s
        idempotency.begin(self.table, request, clocks.epoch_s())
        run = Run(admission.start(self.gate))
        self.runs[request.digest] = run
        await curio.spawn(
            self._execute,
            start,
            request,
            run,
            deadline_s,
            daemon=True,
        )
        await self._join(link, start, run, first=True)

    async def _execute(
        self,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
        run: Run,
        deadline_s: float,
    ) -> None:
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
            self._end(request, run)
            await run.ended.set()

    async def _fetch(
        self,
        start: messages.RequestStart,
        deadline_s: float,
    ) -> idempotency.StoredAnswer:
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

    def _end(self, request: keys.KeyedRequest, run: Run) -> None:
        now_s = clocks.monotonic_s()
        admission.finish(self.gate, run.generation, run.outcome, now_s)
        self.runs.pop(request.digest)
        if run.verdict is verdicts.Verdict.not_run:
            idempotency.forget(self.table, request)
        else:
            idempotency.end(self.table, request, run.answer)

    async def _join(
        self,
        link: links.Link,
        start: messages.RequestStart,
        run: Run,
        *,
        first: bool = False,
    ) -> None:
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(
                curio.ignore_after,
                start.remaining_ms / _MS_IN_S,
                run.ended.wait,
            )
            await group.spawn(link.wait_closed)
        if work.cancelled:
            raise links.LinkError('the entry closed the link')
        if run.answer is not None:
            await self._send_answer(link, start, run.answer, first=first)
            return
        await link.send(
            self._failed(
                start, errors.endpoint_failed, run.verdict, run.failure
            ),
        )

    async def _answer_row(
        self,
        link: links.Link,
        start: messages.RequestStart,
        request: keys.KeyedRequest,
        finding: idempotency.Finding,
    ) -> None:
        row = self.table.rows.get(request.digest)
        key = start.idempotency_key
        if finding is idempotency.Finding.reused:
            message = f'key "{key}" was used for another request'
            verdict = verdicts.Verdict.not_run
            code = errors.key_reused
            await link.send(self._failed(start, code, verdict, message))
        elif row is not None and row.answer is not None:
            await self._send_answer(link, start, row.answer, first=False)
        else:
            message = f'a request with key "{key}" may have run before'
            verdict = verdicts.Verdict.may_have_run
            code = errors.may_have_run
            await link.send(self._failed(start, code, verdict, message))

    async def _send_answer(
        self,
        link: links.Link,
        start: messages.RequestStart,
        answer: idempotency.StoredAnswer,
        *,
        first: bool,
    ) -> None:
        ids = (start.request_id, start.attempt)
        load = self.gate.load()
        headers = answer.headers if first else [*answer.headers, REPLAYED]
        await link.send(
            messages.ResponseHead(*ids, answer.status, headers, load),
        )
        sequence = 0
        for offset in range(0, len(answer.body), CHUNK_BYTES):
            sequence += 1
            chunk = answer.body[offset : offset + CHUNK_BYTES]
            await link.send(messages.ResponseChunk(*ids, sequence, 0, chunk))
        await link.send(messages.ResponseEnd(*ids, sequence, load))

    def _failed(
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

    def _refused(
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
            message=f'endpoint {name} does not run the request now',
            retry_after_ms=RETRY_AFTER_MS,
            load=self.gate.load(),
            owner=ownership.owner_of(self.claims, slot),
        )


def _verdict(error: BaseException) -> verdicts.Verdict:
    if isinstance(error, http_client.HttpError) and not error.sent:
        return verdicts.Verdict.not_run
    return verdicts.Verdict.may_have_run
