"""Acceptance and spread of the configuration.

Two operators change the configuration through the platform's store. Answers
are lost, writes arrive late, the store is down or comes back with an older
copy, the watcher changes and a process restarts. Two processes take the
configuration from the store, if they watch it, or from each other.
"""

import typing
from collections import abc

import attrs
import minicheck

from specs import configuration_states as states

Step = tuple[str, states.State]
_Row = tuple[states.State]
Steps = abc.Iterator[Step]


def protocol(mutant: states.Mutant = states.Mutant.none) -> minicheck.Protocol:
    """Return the specification, with a fault if one is named."""

    def transitions(row: _Row) -> list[tuple[str, _Row]]:
        return [(name, (after,)) for name, after in _steps(row[0], mutant)]

    return minicheck.Protocol(
        name=f'configuration: {mutant}',
        candidate=False,
        fields=('state',),
        initial=(states.State(),),
        transitions=transitions,
        invariants={
            'one configuration a revision': states.one_a_revision,
            'no revision goes down': states.never_lowered,
            'a change is accepted once': states.accepted_once,
            'an outcome is the truth': states.truthful,
        },
        goal=states.spread,
    )


def _steps(state: states.State, mutant: states.Mutant) -> Steps:
    for number in range(states.OPERATORS):
        yield from _operator_steps(state, number, mutant)
    for process in range(states.PROCESSES):
        yield from _process_steps(state, process, mutant)
    yield from _failures(state, mutant)


def _failures(state: states.State, mutant: states.Mutant) -> Steps:
    if not state.copied:
        copied = attrs.evolve(state, copy=state.head, copied=True)
        yield 'copy', copied
    if state.copy is not None and state.copy != state.head:
        restored = attrs.evolve(state, head=state.copy, copy=None)
        if mutant is not states.Mutant.no_session:
            restored = _disconnect(restored)
        yield 'restore', restored
    if state.up:
        yield 'outage for good', attrs.evolve(state, up=False)
    if state.watcher == 0:
        yield 'watcher changes', attrs.evolve(state, watcher=1)
    if not state.restarted:
        in_force = ('', *state.in_force[1:])
        after = attrs.evolve(state, in_force=in_force, restarted=True)
        yield 'restart', after


def _disconnect(state: states.State) -> states.State:
    """End the connections to the store: it restarts."""
    for number, operator in enumerate(state.operators):
        phase = operator.phase
        if phase in {states.Phase.read, states.Phase.asked}:
            phase = states.Phase.not_accepted
        if phase is states.Phase.sent:
            phase = states.Phase.lost
        state = _with(state, number, phase=phase, in_flight=False)
    return state


def _process_steps(
    state: states.State, process: int, mutant: states.Mutant
) -> Steps:
    if state.up and process == state.watcher:
        yield 'read store', _take(state, process, state.head.changes, mutant)
    if mutant is not states.Mutant.no_peers:
        other = state.in_force[1 - process]
        yield 'ask peer', _take(state, process, other, mutant)


def _take(
    state: states.State, process: int, offered: str, mutant: states.Mutant
) -> states.State:
    own = state.in_force[process]
    lower = len(offered) < len(own)
    taken = len(offered) > len(own)
    if mutant is states.Mutant.accepts_lower:
        taken = len(offered) != len(own)
    if not taken:
        return state
    in_force = list(state.in_force)
    in_force[process] = offered
    return attrs.evolve(
        state,
        in_force=tuple(in_force),
        lowered=state.lowered or lower,
    )


def _with(
    state: states.State, number: int, **fields: typing.Any
) -> states.State:
    operators = list(state.operators)
    operators[number] = attrs.evolve(operators[number], **fields)
    return attrs.evolve(state, operators=tuple(operators))


def _operator_steps(
    state: states.State, number: int, mutant: states.Mutant
) -> Steps:
    operator = state.operators[number]
    if state.up:
        yield from _prepare(state, number, mutant)
        if operator.phase is states.Phase.lost:
            yield 'settle', _settle(state, number, mutant)
    if operator.phase is states.Phase.asked:
        sent = _with(state, number, phase=states.Phase.sent, in_flight=True)
        yield 'send', sent
    if operator.phase is states.Phase.sent:
        yield 'time out', _with(state, number, phase=states.Phase.lost)
    if state.up and operator.in_flight:
        yield from _deliver(state, number, mutant)


def _prepare(state: states.State, number: int, mutant: states.Mutant) -> Steps:
    """Read the store, then ask the processes; or the other way round."""
    phase = state.operators[number].phase
    first_asks = mutant is states.Mutant.processes_first
    if phase is states.Phase.idle:
        after = _with(state, number, phase=states.Phase.read)
        yield 'first look', _look(after, number, asks=first_asks)
    if phase is states.Phase.read:
        after = _look(state, number, asks=not first_asks)
        yield 'second look', _repair(after, number, mutant)


def _look(state: states.State, number: int, *, asks: bool) -> states.State:
    if asks:
        highest = max(state.in_force, key=len)
        return _with(state, number, highest=highest)
    return _with(state, number, base=state.head)


def _repair(
    state: states.State, number: int, mutant: states.Mutant
) -> states.State:
    """Give an older copy what is in force, before anything is built on it."""
    operator = state.operators[number]
    older = len(operator.highest) > len(operator.base.changes)
    if not older or mutant is states.Mutant.no_repair:
        return _with(state, number, phase=states.Phase.asked)
    if not _holds(state.head, operator.base, mutant):
        return _with(state, number, phase=states.Phase.not_accepted)
    head = states.Head(operator.highest, state.head.number + 1)
    repaired = attrs.evolve(state, head=head)
    return _with(repaired, number, base=head, phase=states.Phase.asked)


def _holds(head: states.Head, base: states.Head, mutant: states.Mutant) -> bool:
    if mutant is states.Mutant.no_compare:
        return True
    return head.number == base.number


def _deliver(state: states.State, number: int, mutant: states.Mutant) -> Steps:
    """The write reaches the store; its answer arrives or is lost."""
    operator = state.operators[number]
    done = _holds(state.head, operator.base, mutant)
    after = _with(state, number, in_flight=False)
    if done:
        changes = operator.base.changes + states.CHANGES[number]
        writes = list(state.writes)
        writes[number] += 1
        after = attrs.evolve(
            after,
            head=states.Head(changes, state.head.number + 1),
            writes=tuple(writes),
        )
    if operator.phase is not states.Phase.sent:
        yield 'late write', after
        return
    answer = states.Phase.accepted if done else states.Phase.not_accepted
    yield 'answer', _with(after, number, phase=answer)
    yield 'answer lost', _with(after, number, phase=states.Phase.lost)


def _settle(
    state: states.State, number: int, mutant: states.Mutant
) -> states.State:
    """Find out whether a write without an answer was done."""
    if mutant is states.Mutant.blind_retry and state.writes[number] < 2:
        retried = states.Phase.idle
        return _with(state, number, phase=retried, in_flight=False)
    operator = state.operators[number]
    revision = len(operator.base.changes) + 1
    if len(state.head.changes) >= revision:
        mine = state.head.changes[revision - 1] == states.CHANGES[number]
        phase = states.Phase.accepted if mine else states.Phase.not_accepted
        return _with(state, number, phase=phase)
    if state.head != operator.base:
        return _with(state, number, phase=states.Phase.unknown)
    if mutant is not states.Mutant.no_touch:
        head = attrs.evolve(state.head, number=state.head.number + 1)
        state = attrs.evolve(state, head=head)
    newer = max(map(len, state.in_force)) >= revision
    phase = states.Phase.unknown if newer else states.Phase.not_accepted
    return _with(state, number, phase=phase)
