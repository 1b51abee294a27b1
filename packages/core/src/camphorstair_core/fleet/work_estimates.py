"""Estimates the slot time and the KV cache that requests need.

The estimate of a model engine follows its cost model and the size that the
caller names. Sizes may be missing or false, so each is bounded by multiples of
the usual one, and real answers correct the estimates of their route. Without a
cost model, the estimate is the mean of the route's past answers.
"""

import math

import attrs

from camphorstair_core.fleet import catalogue

# The weight of a past answer halves in this time.
HALF_LIFE_S = 10.0
MIN_CORRECTION = 0.1
MAX_CORRECTION = 10.0
# Bounds of a size relative to the usual one. The lower bound keeps a caller
# from getting ahead by naming a size of almost nothing.
MAX_SIZE_FACTOR = 4
MIN_SIZE_FACTOR = 0.05
# Profiles and clocks may be wrong too; larger values count as these.
MAX_SLOT_S = 3600.0
MAX_TOKENS = 1e9
# After 30 half-lives, past answers weigh nothing. Routes are forgotten then,
# as their names may no longer be in the configuration.
RETENTION_S = 300.0
MAX_ROUTES = 1024


@attrs.frozen
class RequestSize:
    """The size of a request, as its caller names it.

    :ivar prompt_tokens: Length of the prompt; 0 if unknown.
    :ivar answer_tokens: Expected or maximum length of the answer; 0 if
        unknown.
    """

    prompt_tokens: int = 0
    answer_tokens: int = 0


@attrs.frozen
class Work:
    """What a request needs, by estimate.

    :ivar slot_s: Time for which it occupies a slot; 0 if unknown.
    :ivar kv_tokens: KV cache that it needs, in tokens; 0 if unknown.
    :ivar uncorrected_s: The slot time by the cost model alone; 0 without one.
    """

    slot_s: float
    kv_tokens: int
    uncorrected_s: float = 0


@attrs.define
class Evidence:
    """Totals over the past answers of a route, in which old ones weigh less.

    :ivar actual_s: Their slot times.
    :ivar expected: Their slot times by the cost model, or their number where
        there is no cost model.
    :ivar updated_s: When the last answer was added.
    """

    actual_s: float
    expected: float
    updated_s: float


@attrs.define
class Estimates:
    """What past answers say about later requests, by the name of the route.

    The routes are in the order of their last answers.

    :ivar corrections: Evidence on requests estimated by a cost model.
    :ivar means: Evidence on requests without a cost model.
    """

    corrections: dict[str, Evidence] = attrs.field(factory=dict)
    means: dict[str, Evidence] = attrs.field(factory=dict)


def estimate(
    estimates: Estimates,
    route: catalogue.Route,
    size: RequestSize,
    profile: catalogue.EngineProfile | None,
) -> Work:
    """Return what a request needs, by estimate.

    :param estimates: What past answers say.
    :param route: The route of the request.
    :param size: The size that the caller names.
    :param profile: The profile of the service's engine; None for a service
        without a model.
    """
    if profile is None:
        return Work(_mean_s(estimates, route.name), 0)
    prompt_tokens = _bounded_tokens(
        size.prompt_tokens, profile.usual_prompt_tokens, profile.kv_tokens
    )
    answer_tokens = _bounded_tokens(
        size.answer_tokens, profile.usual_answer_tokens, profile.kv_tokens
    )
    kv_tokens = math.ceil(prompt_tokens + answer_tokens)
    uncorrected_s = _model_s(profile, prompt_tokens, answer_tokens)
    if not uncorrected_s:
        return Work(_mean_s(estimates, route.name), kv_tokens)
    slot_s = uncorrected_s * _correction(estimates, route.name)
    return Work(slot_s, kv_tokens, uncorrected_s)


def record(
    estimates: Estimates,
    route_name: str,
    work: Work,
    actual_s: float,
    now_s: float,
) -> None:
    """Add a complete answer to the evidence.

    :param estimates: The evidence to update.
    :param route_name: The name of the route of the request.
    :param work: What the request was estimated to need.
    :param actual_s: The time for which it occupied a slot.
    :param now_s: The current time.
    """
    if not 0 <= actual_s < math.inf:
        return
    if work.uncorrected_s > 0:
        evidences = estimates.corrections
        expected = work.uncorrected_s
        # The estimate itself counts as one answer, so that the first answer
        # of a route does not decide alone.
        added = Evidence(expected, expected, now_s)
        # Bounding each answer keeps a single stalled one from dominating.
        slot_s = _clamp(
            actual_s, MIN_CORRECTION * expected, MAX_CORRECTION * expected
        )
    else:
        evidences = estimates.means
        expected = 1
        added = Evidence(0, 0, now_s)
        slot_s = min(actual_s, MAX_SLOT_S)
    evidence = evidences.pop(route_name, added)
    elapsed_s = max(0, now_s - evidence.updated_s)
    weight = math.exp2(-elapsed_s / HALF_LIFE_S)
    evidence.actual_s = evidence.actual_s * weight + slot_s
    evidence.expected = evidence.expected * weight + expected
    evidence.updated_s = now_s
    evidences[route_name] = evidence
    _forget_old(evidences, now_s)


def _forget_old(evidences: dict[str, Evidence], now_s: float) -> None:
    while evidences:
        name = next(iter(evidences))
        is_fresh = now_s - evidences[name].updated_s < RETENTION_S
        if is_fresh and len(evidences) <= MAX_ROUTES:
            return
        evidences.pop(name)


def _mean_s(estimates: Estimates, route_name: str) -> float:
    evidence = estimates.means.get(route_name)
    return evidence.actual_s / evidence.expected if evidence else 0


def _correction(estimates: Estimates, route_name: str) -> float:
    evidence = estimates.corrections.get(route_name)
    if evidence is None:
        return 1
    return _clamp(
        evidence.actual_s / evidence.expected, MIN_CORRECTION, MAX_CORRECTION
    )


def _bounded_tokens(tokens: int, usual: float, capacity: int) -> float:
    """Return a length that a caller names, within the bounds.

    :param tokens: The length; 0 or less if unknown.
    :param usual: The usual length; 0 if unknown.
    :param capacity: The bound if the usual length is unknown.
    """
    if tokens <= 0:
        return min(usual, MAX_TOKENS)
    longest = MAX_SIZE_FACTOR * usual if usual else capacity
    bounded = _clamp(tokens, MIN_SIZE_FACTOR * usual, longest)
    return min(bounded, MAX_TOKENS)


def _clamp(number: float, smallest: float, largest: float) -> float:
    return max(smallest, min(number, largest))


def _model_s(
    profile: catalogue.EngineProfile,
    prompt_tokens: float,
    answer_tokens: float,
) -> float:
    """Return the slot time by the cost model.

    The other slots are taken to run usual requests, as estimates matter only
    under full load. A request's mean context is its prompt and half of its
    answer.
    """
    usual_context = profile.usual_prompt_tokens
    usual_context += profile.usual_answer_tokens / 2
    others = max(0, profile.slots - 1)
    context = others * usual_context + prompt_tokens + answer_tokens / 2
    step_s = (
        profile.step_s
        + (others + 1) * profile.per_sequence_s
        + context * profile.context_per_token_s
    )
    slot_s = answer_tokens * step_s
    slot_s += profile.pair_s * prompt_tokens * prompt_tokens / 2
    if profile.read_tokens_per_s > 0:
        slot_s += prompt_tokens / profile.read_tokens_per_s
    # In this order, NaN (zero times infinity) counts as the largest time too.
    return min(MAX_SLOT_S, slot_s)
