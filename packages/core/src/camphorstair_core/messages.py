"""Messages between the processes of the system.

Every message is an attrs class; ``KINDS`` gives the number that stands for it
on the wire. A number is never used for a second class.
"""

import types

import attrs

from camphorstair_core import (
    changes,
    membership_messages,
    order_messages,
    verdicts,
    vm_lists,
    vms,
)


@attrs.define
class LoadReport:
    """The load of an endpoint as its agent sees it.

    :ivar in_flight: Requests that the endpoint works on.
    :ivar limit: Requests that it may work on now.
    :ivar queued: Requests that wait at the agent.
    :ivar cold: Whether the endpoint is below its full limit.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    cold: bool = True


@attrs.define
class Hello:
    """First message of a connection and heartbeat; the reply is one as well.

    :ivar node: The sender's name.
    :ivar data_centre: The sender's data centre.
    :ivar revision: The configuration revision in force at the sender.
    :ivar leaving: Whether the sender shuts down.
    :ivar load: The load, if the sender is an agent.
    """

    node: str
    data_centre: str
    revision: int
    leaving: bool = False
    load: LoadReport | None = None


@attrs.define
class ConfigurationRequest:
    """Asks for the configuration if it is newer than a revision."""

    above_revision: int


@attrs.define
class ConfigurationReply:
    """The configuration in force at the sender.

    :ivar revision: Its revision; 0 if the sender has none.
    :ivar change_id: The identifier of the change that made it.
    :ivar text: The rules, or None if the asker's copy is as new or deltas
        lead to them.
    :ivar deltas: The changes above the asker's revision, if it is recent.
    """

    revision: int
    change_id: str = ''
    text: str | None = None
    deltas: list[changes.Change] = attrs.field(factory=list)


@attrs.define
class RequestStart:
    """A caller's request, for the endpoint behind an agent.

    :ivar request_id: Identifier of the request, the same in every attempt.
    :ivar attempt: Number of the attempt, from 1.
    :ivar service: The service that the request is for.
    :ivar organisation: The caller's organisation.
    :ivar priority: 0 (low) to 2 (high).
    :ivar idempotent: Whether a second run does no harm.
    :ivar idempotency_key: The caller's key, if it gave one.
    :ivar method: HTTP method.
    :ivar path: HTTP path with query.
    :ivar headers: HTTP headers that go on to the endpoint.
    :ivar body: HTTP body.
    :ivar remaining_ms: Time left until the caller's deadline.
    :ivar after_event: Number of the last event the caller has; 0 for none.
    :ivar revision: The configuration revision in force at the entry.
    """

    request_id: str
    attempt: int
    service: str
    organisation: str
    priority: int
    idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_ms: int
    after_event: int = 0
    revision: int = 0


@attrs.define
class RequestRefused:
    """The agent's refusal; nothing reached the endpoint.

    :ivar owner: The endpoint that owns the request's key, if it is another.
    """

    request_id: str
    code: str
    message: str
    retry_after_ms: int
    load: LoadReport
    revision: int = 0
    owner: str = ''


@attrs.define
class ResponseHead:
    """Start of the endpoint's answer."""

    request_id: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    load: LoadReport


@attrs.define
class ResponseChunk:
    """A part of the endpoint's answer.

    :ivar sequence: Number of the part in this attempt, from 1.
    :ivar last_event: Number of the last event it holds; 0 if not a stream.
    :ivar body: The bytes.
    :ivar first_event: Number of the first event it holds; 0 if none has one.
    """

    request_id: str
    attempt: int
    sequence: int
    last_event: int
    body: bytes
    first_event: int = 0


@attrs.define
class ResponseEnd:
    """Explicit end of a whole answer.

    :ivar sequence: Number of parts that came before.
    """

    request_id: str
    attempt: int
    sequence: int
    load: LoadReport


@attrs.define
class ResponseFailed:
    """The endpoint's answer can't be completed."""

    request_id: str
    attempt: int
    verdict: verdicts.Verdict
    code: str
    message: str
    load: LoadReport


@attrs.define
class StatusRequest:
    """Asks a process for its state."""


@attrs.define
class NodeStatus:
    """State of a process.

    :ivar role: ``entry`` or ``agent``.
    :ivar service: The service behind an agent, else empty.
    :ivar refused: Why it refused a newer configuration, else empty.
    :ivar control_bytes: Bytes sent and received since its start for all but
        requests and answers, without headers of TCP and IP.
    """

    node: str
    role: str
    data_centre: str
    revision: int
    leaving: bool
    load: LoadReport
    service: str = ''
    memory_bytes: int = 0
    processor_s: float = 0
    refused: str = ''
    control_bytes: int = 0


@attrs.define
class VmListRequest:
    """Asks for the VM list if it is another version.

    :ivar digest: Fingerprint of the asker's version; empty for none.
    """

    digest: str = ''


@attrs.define
class VmListReply:
    """The VM list as the sender knows it.

    :ivar digest: Fingerprint of the sender's version; empty for none.
    :ivar changes: What leads from the asker's version to it.
    :ivar listed: The whole list, or None if the changes lead to it.
    """

    digest: str
    changes: list[vm_lists.ListChange] = attrs.field(factory=list)
    listed: list[vms.Vm] | None = None


KINDS = types.MappingProxyType(
    {
        1: Hello,
        2: ConfigurationRequest,
        3: ConfigurationReply,
        4: RequestStart,
        5: RequestRefused,
        6: ResponseHead,
        7: ResponseChunk,
        8: ResponseEnd,
        9: ResponseFailed,
        10: StatusRequest,
        11: NodeStatus,
        40: VmListRequest,
        41: VmListReply,
        50: membership_messages.Heartbeat,
        51: membership_messages.Leaving,
        52: membership_messages.LeavingReply,
        60: order_messages.FenceRequest,
        61: order_messages.FenceReply,
        62: order_messages.Order,
        63: order_messages.OrderReply,
    },
)
