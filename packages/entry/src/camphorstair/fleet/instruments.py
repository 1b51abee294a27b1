"""The OpenTelemetry counters and histograms of an entry."""

import attrs
from opentelemetry import metrics as metrics_api


@attrs.define
class Instruments:
    """Counters and histograms of an entry.

    :ivar answers: Answered requests by route.
    :ivar refusals: Requests that ended with an error of the entry, by code.
    :ivar retries: Retries asked of the retry budget, by whether it allowed
        them.
    :ivar ejections: Ejections of endpoints after failures.
    :ivar crashes: Requests whose endpoint crashed before it answered.
    :ivar queue_refusals: Queued requests of ranked services that were refused,
        by cause and priority.
    :ivar start_error_s: Time by which the start of a request of a ranked
        service was off the estimate at its arrival, in seconds.
    :ivar slot_grants: Slots that agents granted, by outcome.
    :ivar preempted_streams: Streams that paused while their engine's memory was
        almost full, by route.
    :ivar queued_s: Time from a request's arrival to its last attempt, in
        seconds.
    :ivar first_part_s: Time from a request's arrival to the first part of its
        answer, in seconds.
    """

    answers: metrics_api.Counter
    refusals: metrics_api.Counter
    retries: metrics_api.Counter
    ejections: metrics_api.Counter
    crashes: metrics_api.Counter
    queue_refusals: metrics_api.Counter
    start_error_s: metrics_api.Histogram
    slot_grants: metrics_api.Counter
    preempted_streams: metrics_api.Counter
    queued_s: metrics_api.Histogram
    first_part_s: metrics_api.Histogram


def create(meter: metrics_api.Meter) -> Instruments:
    """Create the instruments of an entry."""
    return Instruments(
        meter.create_counter('camphorstair_answers'),
        meter.create_counter('camphorstair_refusals'),
        meter.create_counter('camphorstair_repeats'),
        meter.create_counter('camphorstair_ejections'),
        meter.create_counter('camphorstair_crashes'),
        meter.create_counter('camphorstair_queue_refusals'),
        meter.create_histogram('camphorstair_start_estimate_error_seconds'),
        meter.create_counter('camphorstair_slot_grants'),
        meter.create_counter('camphorstair_preempted_streams'),
        meter.create_histogram('camphorstair_queued_seconds'),
        meter.create_histogram('camphorstair_first_part_seconds'),
    )
