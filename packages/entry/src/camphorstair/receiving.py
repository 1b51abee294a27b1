"""Receives the replies to an attempt and notices an agent that hangs."""

import attrs
import curio

from camphorstair import link_pool
from camphorstair_core import answers, endpoints, messages
from camphorstair_runtime import clocks, links

HELLO_LIMIT_S = 1.0
SILENCE_S = 1.0
PART_LIMIT_S = 10.0
FIRST_PART_SHARE = 0.5
_MS_IN_S = 1000


class AgentSilentError(links.LinkError):
    """The agent, or the endpoint behind it, does not go on."""


@attrs.define
class Receiver:
    """Receives the replies to one attempt.

    A limit on each part would be set and removed for each token; instead one
    task watches whether parts come.

    :ivar link: The link on which they come.
    :ivar endpoint: The endpoint that answers.
    :ivar pool: Gives a second link, to ask a silent agent whether it runs.
    :ivar hello: What it is asked with.
    :ivar progress: What has come of the answer.
    :ivar waiting: Whether a reply is waited for.
    :ivar part_deadline_s: Until when the next part must come.
    :ivar replies: Replies so far.
    :ivar silence: Why the link was ended, if the agent was silent.
    """

    link: links.Link
    endpoint: endpoints.Endpoint
    pool: link_pool.LinkPool
    hello: messages.Hello
    progress: answers.AnswerProgress
    waiting: bool = False
    part_deadline_s: float = 0
    replies: int = 0
    silence: AgentSilentError | None = None

    async def receive(self, limit_s: float) -> answers.Reply:
        """Return the next reply to this attempt.

        :param limit_s: How long the endpoint may take for it while the agent
            is watched.
        :raises links.LinkError: if the link breaks or the agent is silent.
        """
        self.part_deadline_s = clocks.monotonic_s() + limit_s
        self.waiting = True
        try:
            return await self._next_reply()
        except links.LinkError as error:
            raise self.silence or error from error
        finally:
            self.waiting = False
            self.replies += 1

    async def watch(self) -> None:
        """End the link when the agent or the endpoint no longer goes on."""
        replies = -1
        while not self.silence:
            if self.waiting and self.replies == replies:
                await self._check_agent()
            replies = self.replies
            await curio.sleep(SILENCE_S)

    async def _next_reply(self) -> answers.Reply:
        while True:
            reply = await self.link.receive()
            if not isinstance(reply, answers.REPLIES):
                raise links.LinkError(f'unexpected {type(reply).__name__}')
            if answers.belongs_to_attempt(self.progress, reply):
                return reply

    async def _check_agent(self) -> None:
        try:
            await self._ask_agent()
        except links.LinkError as error:
            self.silence = AgentSilentError(str(error))
            await self.link.interrupt()

    async def _ask_agent(self) -> None:
        now_s = clocks.monotonic_s()
        if now_s >= self.part_deadline_s:
            raise AgentSilentError('the endpoint does not go on')
        if now_s < self.endpoint.heard_s + SILENCE_S:
            return
        vm = self.endpoint.vm
        link = await self.pool.take(vm)
        heard = False
        try:
            await check_alive(link, self.hello)
            heard = True
        finally:
            if heard:
                await self.pool.give_back(vm, link)
            else:
                await link.close()
        self.endpoint.heard_s = clocks.monotonic_s()


async def check_alive(link: links.Link, hello: messages.Hello) -> None:
    """Ask an agent on an idle link whether it runs.

    :raises links.LinkError: if it does not answer.
    """
    try:
        reply = await curio.timeout_after(HELLO_LIMIT_S, link.call, hello)
    except (links.LinkError, curio.TaskTimeout) as error:
        raise AgentSilentError('the agent is silent') from error
    if not isinstance(reply, messages.Hello):
        raise links.LinkError(f'unexpected {type(reply).__name__}')


def first_limit_s(start: messages.RequestStart) -> float:
    """Return how long an endpoint may take for the first part of an answer."""
    share_s = start.remaining_ms * FIRST_PART_SHARE / _MS_IN_S
    return max(PART_LIMIT_S, share_s)
