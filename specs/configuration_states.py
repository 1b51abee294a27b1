"""States of the specification of the configuration, and what must hold."""

import enum

import attrs

OPERATORS = 2
PROCESSES = 2
CHANGES = 'ab'


class Mutant(enum.StrEnum):
    """A fault built into the protocol."""

    none = 'none'
    no_compare = 'no compare on the head'
    no_session = 'reads and writes on connections of their own'
    blind_retry = 'a lost answer is tried again'
    no_touch = 'a head as read counts as not accepted'
    accepts_lower = 'a process takes any other revision'
    processes_first = 'the processes are asked before the store is read'
    no_repair = 'an older copy is built upon'
    no_peers = 'processes ask the store only'


class Phase(enum.IntEnum):
    """How far an operator's apply is."""

    idle = 0
    read = 1
    asked = 2
    sent = 3
    lost = 4
    accepted = 5
    not_accepted = 6
    unknown = 7


@attrs.define(frozen=True)
class Head:
    """The store: the changes by revision, and the platform's number."""

    changes: str = ''
    number: int = 0


@attrs.define(frozen=True)
class Operator:
    """An operator's apply.

    :ivar base: The head as read.
    :ivar highest: The highest configuration that the processes reported.
    :ivar in_flight: Whether its write has not yet reached the store.
    """

    phase: Phase = Phase.idle
    base: Head = attrs.field(factory=Head)
    highest: str = ''
    in_flight: bool = False


@attrs.define(frozen=True)
class State:
    """The whole system; a configuration is the changes that made it.

    :ivar copy: An older copy of the store; None before it is made or after.
    :ivar copied: Whether a copy was made.
    :ivar up: Whether the store answers.
    :ivar watcher: The process that watches the store.
    :ivar restarted: Whether a process has restarted.
    :ivar lowered: Whether a process has lowered its revision.
    :ivar writes: How often each operator's change was accepted.
    """

    head: Head = attrs.field(factory=Head)
    copy: Head | None = None
    copied: bool = False
    up: bool = True
    watcher: int = 0
    restarted: bool = False
    operators: tuple[Operator, ...] = (Operator(),) * OPERATORS
    in_force: tuple[str, ...] = ('',) * PROCESSES
    lowered: bool = False
    writes: tuple[int, ...] = (0,) * OPERATORS


def one_a_revision(row: dict[str, State]) -> bool:
    """No two processes differ under one revision.

    What is lost at the store and at all processes is not counted.
    """
    found = set(row['state'].in_force)
    return len({len(one) for one in found}) == len(found)


def never_lowered(row: dict[str, State]) -> bool:
    """No process has lowered its revision."""
    return not row['state'].lowered


def accepted_once(row: dict[str, State]) -> bool:
    """No change was accepted twice."""
    return max(row['state'].writes) <= 1


def truthful(row: dict[str, State]) -> bool:
    """What an operator was told is so."""
    state = row['state']
    places = (state.head.changes, *state.in_force)
    for number, operator in enumerate(state.operators):
        there = any(CHANGES[number] in place for place in places)
        if operator.phase is Phase.not_accepted and there:
            return False
        if operator.phase is Phase.accepted and not state.writes[number]:
            return False
    return True


def spread(row: dict[str, State]) -> bool:
    """The highest configuration at any process is in force at all."""
    state = row['state']
    if state.up and len(state.head.changes) > len(state.in_force[0]):
        return False
    return len(set(state.in_force)) == 1
