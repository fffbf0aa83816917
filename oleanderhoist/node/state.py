"""What a router knows: the picture and the contracts in force."""

import asyncio

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset


class State:
    """The newest picture and contracts of one process.

    Neither ever goes back while the process lives.

    Attributes:
        picture: State of the system.
        terms: Contracts in force; None before the first.
        terms_revision: Revision up to which contracts were read.
        confirmed: When the picture was last known to be the newest, on the
            monotonic clock; None before the first time.
    """

    def __init__(self):
        self.picture = cluster.Picture()
        self.terms: contractset.Terms | None = None
        self.terms_revision = 0
        self.confirmed: float | None = None
        self.listeners: list = []
        self.terms_listeners: list = []
        self.changed = asyncio.Event()
        self.terms_changed = asyncio.Event()

    def adopt(self, picture: cluster.Picture, source: str) -> None:
        """Takes a newer picture.

        Args:
            picture: The picture.
            source: Where it comes from, for the log.
        """
        before = self.picture
        if picture.epoch < before.epoch:
            return
        self.picture = picture
        self.changed.set()
        self.changed = asyncio.Event()
        log.write(
            events.PICTURE_ADOPTED,
            epoch=picture.epoch,
            version=picture.version,
            servers=len(picture.servers),
            members=len(picture.members),
            source=source,
        )
        for listener in self.listeners:
            listener(picture)

    def adopt_terms(self, document: ports.Document, source: str) -> None:
        """Puts newer contracts in force.

        Args:
            document: The contracts.
            source: Where they come from, for the log.
        """
        newer = document.revision > self.terms_revision
        self.terms_revision = max(self.terms_revision, document.revision)
        if not self.terms or document.terms.version > self.terms.version:
            self.terms = document.terms
            log.write(
                events.TERMS_IN_FORCE,
                version=document.terms.version,
                revision=document.revision,
                works=sum(len(w) for w in document.terms.works.values()),
                source=source,
            )
        if newer:
            self.tell_terms()

    def tell_terms(self) -> None:
        """Tells everyone who waits that another revision was seen."""
        self.terms_changed.set()
        self.terms_changed = asyncio.Event()
        for listener in self.terms_listeners:
            listener()

    def document(self) -> ports.Document | None:
        """Returns the contracts in force as of the newest revision seen."""
        if self.terms is None:
            return None
        return ports.Document(terms=self.terms, revision=self.terms_revision)

    async def wait_terms(self, revision: int, seconds: float) -> bool:
        """Waits until a revision was seen; tells whether it was."""
        try:
            async with asyncio.timeout(seconds):
                while self.terms_revision < revision:
                    await self.terms_changed.wait()
        except TimeoutError:
            return False
        return True

    def refuse_terms(self, error: ports.TermsError) -> None:
        """Notes contracts that cannot be put in force, once."""
        if error.revision <= self.terms_revision:
            return
        self.terms_revision = max(self.terms_revision, error.revision)
        log.write(
            events.TERMS_REFUSED, revision=error.revision, reason=str(error)
        )
        self.tell_terms()

    async def wait_changed(self, seconds: float) -> bool:
        """Waits for the next picture; tells whether one came."""
        changed = self.changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return False
        return True
