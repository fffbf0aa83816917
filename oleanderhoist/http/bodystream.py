"""The body of a response that is passed on as it arrives."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib


class BodyStream:
    """Chunks of a body, and what is done once no more are read.

    A generator that was never started runs no code when it is closed, so its
    cleanup can't be left to it.

    Args:
        chunks: Yields the chunks.
        on_end: Called once, at the end or when the stream is abandoned.
    """

    def __init__(
        self,
        *,
        chunks: AsyncGenerator[bytes, None],
        on_end: Callable[[], None],
    ):
        self.chunks = chunks
        self.end_callbacks = [on_end]

    def __aiter__(self) -> "BodyStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self.chunks)
        except BaseException:
            self.abandon()
            raise

    async def aclose(self) -> None:
        """Ends the stream, read or not."""
        try:
            await self.chunks.aclose()
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Lets go of the response without waiting for anything."""
        callbacks, self.end_callbacks = self.end_callbacks, []
        with contextlib.ExitStack() as stack:
            for callback in callbacks:
                stack.callback(callback)
