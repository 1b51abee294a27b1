"""Decides whether a request fits into the memory of a model engine.

An engine whose KV cache is full interrupts running requests and computes them
again later, so a request is sent only to an engine that has room for it. The
memory in use is estimated as the reported one, plus the usual need of the
requests that wait at the engine, plus this entry's requests sent since the
report. Each entry that shares an engine leaves room for one usual request, as
another entry may send one at the same time.
"""

from camphorstair_core.fleet import catalogue, placement

# A request sent shortly before a report arrived is not in the report's memory
# yet: it was still on its way, or not yet admitted by the engine.
MAX_ADMISSION_S = 0.05
# Above this fraction of its memory an engine interrupts requests as soon as
# the running ones grow.
FULL_SHARE = 0.95


def record_report(load: placement.Load, kv_used: int, now_s: float) -> None:
    """Record the memory in use that an engine's report states.

    :param load: The load of the endpoint.
    :param kv_used: Tokens in the engine's memory that can't be evicted.
    :param now_s: The current time.
    """
    load.kv_reported = max(0, kv_used)
    load.kv_reported_s = now_s
    _drop_sent(load, now_s - MAX_ADMISSION_S)


def record_sent(
    load: placement.Load,
    profile: catalogue.EngineProfile,
    kv_tokens: int,
    now_s: float,
) -> None:
    """Record the memory that a request needs as it is sent.

    :param load: The load of the endpoint.
    :param profile: The profile of its engine.
    :param kv_tokens: Estimated need of the request in tokens; 0 if unknown.
    :param now_s: The current time.
    """
    # Without reports, what was sent would pile up. It is not needed for longer,
    # because an older report counts for nothing.
    _drop_sent(load, now_s - placement.REPORT_MAX_AGE_S - MAX_ADMISSION_S)
    load.kv_sent.append((now_s, needed_tokens(profile, kv_tokens)))


def needed_tokens(profile: catalogue.EngineProfile, kv_tokens: int) -> float:
    """Return the memory that a request needs, in tokens.

    :param profile: The profile of the engine.
    :param kv_tokens: The estimate for the request; 0 if unknown, which counts
        as the usual prompt and answer.
    """
    if kv_tokens > 0:
        return kv_tokens
    return profile.usual_prompt_tokens + profile.usual_answer_tokens


def fits(
    candidate: placement.Candidate,
    profile: catalogue.EngineProfile,
    kv_tokens: int,
    now_s: float,
) -> bool:
    """Return whether a request fits into the memory of an engine.

    Without a recent report of the memory in use, the request is taken to fit.
    So is a request that is larger than the whole memory: no engine will have
    room for it later, so the engine is left to answer it.

    :param candidate: The endpoint of the engine, with its load.
    :param profile: The profile of the engine; its memory must be known.
    :param kv_tokens: Estimated need of the request in tokens; 0 if unknown.
    :param now_s: The current time.
    """
    needed = needed_tokens(profile, kv_tokens)
    spare = profile.kv_tokens - needed
    load = candidate.load
    if spare < 0 or not _is_reported(load, now_s):
        return True
    # An idle engine has room for every request that is not too large for it.
    usual = min(needed_tokens(profile, 0), spare)
    reserved = usual if candidate.users > 1 else 0
    return _used_tokens(load, profile) + reserved <= spare


def is_almost_full(
    load: placement.Load,
    profile: catalogue.EngineProfile,
    now_s: float,
) -> bool:
    """Return whether a recent report says that the memory is almost full."""
    limit = FULL_SHARE * profile.kv_tokens
    return _is_reported(load, now_s) and 0 < limit < load.kv_reported


def _is_reported(load: placement.Load, now_s: float) -> bool:
    age_s = now_s - load.kv_reported_s
    return load.kv_reported_s > 0 and age_s < placement.REPORT_MAX_AGE_S


def _used_tokens(
    load: placement.Load, profile: catalogue.EngineProfile
) -> float:
    sent = sum(tokens for _sent_s, tokens in load.kv_sent)
    return load.kv_reported + load.waiting * needed_tokens(profile, 0) + sent


def _drop_sent(load: placement.Load, before_s: float) -> None:
    """Forget the requests that were sent before a time."""
    load.kv_sent = [sent for sent in load.kv_sent if sent[0] >= before_s]
