"""Checks that entries act on what endpoints said in their answers.

An endpoint that leaves gets no request that a caller sent to an entry later
than ``DRAIN_S`` after that entry had passed on an answer which said so. An
endpoint that refused an entry's request with Retry-After gets at most
``MAX_ARRIVALS`` requests from it in that time, the first
``REFUSAL_DELAY_S`` left out. An entry that was stopped, frozen or killed since, and one that
may not have got the answer, is excused.
"""

from collections import abc

from soak import recording

REFUSAL_DELAY_S = 0.5
MAX_ARRIVALS = 2


def broken(seen: recording.Recording) -> list[str]:
    """Return descriptions of the endpoints that got requests nevertheless."""
    calls = {call.attempt: call for call in seen.calls}
    return [
        *_arrivals_after_leaving(seen, calls),
        *_arrivals_after_refusal(seen, calls),
    ]


def _arrivals_after_leaving(
    seen: recording.Recording, calls: dict[str, recording.Call]
) -> abc.Iterator[str]:
    for report in seen.leaving_reports:
        told = calls[report.attempt]
        if not told.status:
            continue
        for arrival in _later_arrivals(seen, calls, report):
            sent_s = calls[arrival.attempt].sent_s
            if sent_s > told.ended_s + recording.DRAIN_S:
                yield (
                    f'{arrival.attempt} reached {arrival.endpoint}, which '
                    f'told entry {told.entry} in {report.attempt} that it leaves'
                )


def _arrivals_after_refusal(
    seen: recording.Recording, calls: dict[str, recording.Call]
) -> abc.Iterator[str]:
    for refusal in seen.refusals:
        arrivals = [
            arrival.attempt
            for arrival in _later_arrivals(seen, calls, refusal)
            if REFUSAL_DELAY_S
            < arrival.at_s - refusal.at_s
            < recording.RETRY_AFTER_S
        ]
        if len(arrivals) > MAX_ARRIVALS:
            yield (
                f'{arrivals} reached {refusal.endpoint}, which refused '
                f'{refusal.attempt} with Retry-After'
            )


def _later_arrivals(
    seen: recording.Recording,
    calls: dict[str, recording.Call],
    report: recording.Arrival,
) -> list[recording.Arrival]:
    """Return the later arrivals by the entry that got a report.

    Arrivals are left out if the entry may not know the report any more.
    """
    entry = calls[report.attempt].entry
    return [
        arrival
        for arrival in (*seen.runs, *seen.refusals)
        if arrival.endpoint == report.endpoint
        and arrival.at_s > report.at_s
        and calls[arrival.attempt].entry == entry
        and not seen.may_not_know(entry, report.at_s, arrival.at_s)
    ]
