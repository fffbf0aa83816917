"""Models that validate the contracts that operators write."""

import hashlib
import re
import tomllib
from typing import Annotated
from typing import Literal

import pydantic

MAX_RATE_PER_SECOND = 10_000_000
MAX_BURST = 10_000_000
MAX_PATH_CHARS = 256
MAX_KEY_CHARS = 256
MAX_BODY_BYTES = 1 << 30
MAX_WORTH = 1_000_000
MIN_DEADLINE_MS = 10
MAX_DEADLINE_MS = 600_000
MAX_TOLERATED_SERVER_LOSSES = 1000
MAX_KINDS_OF_WORK = 64
MAX_SOURCE_BYTES = 262_144  # Of a request; `parse` counts characters.
MAX_SHOWN_CHARS = 60  # Of a rejected value.

_SEGMENTS = re.compile(r"/(?:[A-Za-z0-9._~-]+|\{key\})")

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9-]{0,62}$")
]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class ContractError(Exception):
    """A contract is not valid.

    Attributes:
        problems: One line for each field, naming the field and the fix.
    """

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


class Work(pydantic.BaseModel):
    """A kind of work that a customer may send.

    Attributes:
        name: Name, unique in the contract.
        path: Path template; a segment ``{key}`` stands for the key.
        methods: HTTP methods.
        rank: Urgency; 1 is the most urgent.
        repeatable: Whether a request may run more than once.
        worth: Value of one request, relative to other kinds of work.
        rate_per_second: Promised rate of requests.
        burst: Requests that are admitted at once after a quiet period.
        deadline_ms: Time allowed for a request, in milliseconds.
        service_ms: Time a request occupies a slot, in milliseconds.
        max_body_bytes: Largest request body, in bytes.
        pool: Pool of the servers that run it.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    name: Name
    path: Annotated[str, pydantic.Field(max_length=MAX_PATH_CHARS)]
    methods: Annotated[tuple[Method, ...], pydantic.Field(min_length=1)]
    rank: Literal[1, 2, 3]
    repeatable: bool
    worth: Annotated[float, pydantic.Field(gt=0, le=MAX_WORTH)]
    rate_per_second: Annotated[
        float, pydantic.Field(gt=0, le=MAX_RATE_PER_SECOND)
    ]
    burst: Annotated[int, pydantic.Field(ge=1, le=MAX_BURST)]
    deadline_ms: Annotated[
        int, pydantic.Field(ge=MIN_DEADLINE_MS, le=MAX_DEADLINE_MS)
    ]
    service_ms: Annotated[float, pydantic.Field(gt=0, le=MAX_DEADLINE_MS)]
    max_body_bytes: Annotated[int, pydantic.Field(ge=0, le=MAX_BODY_BYTES)]
    pool: Name

    @pydantic.field_validator("methods", mode="before")
    @classmethod
    def methods_from_list(cls, value: object) -> object:
        """Converts TOML's list to the tuple that strict mode requires."""
        return tuple(value) if isinstance(value, list) else value

    @pydantic.field_validator("path")
    @classmethod
    def path_is_template(cls, value: str) -> str:
        """Checks that the path is a valid template."""
        matched = "".join(_SEGMENTS.findall(value))
        if matched != value or not value:
            raise ValueError(
                "write '/segment/...' with letters, digits and '._~-', and "
                "at most one '{key}' as a segment of its own"
            )
        if value.count("{key}") > 1:
            raise ValueError("write '{key}' once at most")
        return value

    @pydantic.model_validator(mode="after")
    def service_within_deadline(self) -> "Work":
        """Checks that the service time is within the deadline."""
        if self.service_ms > self.deadline_ms:
            raise ValueError("service_ms must not exceed deadline_ms")
        return self

    @property
    def keyed(self) -> bool:
        """Whether requests carry a key in the path."""
        return "{key}" in self.path

    def match(self, path: str) -> str | None:
        """Matches a request's path against the template.

        Returns:
            The key, empty when the template has none, or None on no match.
        """
        template = self.path.split("/")
        segments = path.split("/")
        if len(template) != len(segments):
            return None
        key = ""
        for expected, actual in zip(template, segments, strict=True):
            if expected == "{key}":
                if not actual or len(actual) > MAX_KEY_CHARS:
                    return None
                key = actual
            elif expected != actual:
                return None
        return key


class Contract(pydantic.BaseModel):
    """What one customer may send and is promised.

    Attributes:
        customer: Name of the customer.
        credential_sha256: SHA-256 of the customer's credential, in hex.
        tolerated_server_losses: Servers of each pool that may be lost without
            breaking the promises.
        work: Kinds of work.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    customer: Name
    credential_sha256: Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
    ]
    tolerated_server_losses: Annotated[
        int, pydantic.Field(ge=0, le=MAX_TOLERATED_SERVER_LOSSES)
    ]
    work: Annotated[
        tuple[Work, ...],
        pydantic.Field(min_length=1, max_length=MAX_KINDS_OF_WORK),
    ]

    @pydantic.field_validator("work", mode="before")
    @classmethod
    def work_from_list(cls, value: object) -> object:
        """Converts TOML's list to the tuple that strict mode requires."""
        return tuple(value) if isinstance(value, list) else value

    @pydantic.model_validator(mode="after")
    def names_and_paths_differ(self) -> "Contract":
        """Rejects duplicate names and overlapping paths."""
        for index, one in enumerate(self.work):
            for other in self.work[:index]:
                if one.name == other.name:
                    raise ValueError(f"work name {one.name!r} stands twice")
                if overlap(one, other):
                    raise ValueError(
                        f"paths of {other.name!r} and {one.name!r} overlap: "
                        f"{other.path} and {one.path}"
                    )
        return self

    def find(self, method: str, path: str) -> tuple[Work, str] | None:
        """Returns a request's kind of work and its key; None on no match."""
        for work in self.work:
            if method in work.methods:
                key = work.match(path)
                if key is not None:
                    return work, key
        return None


def overlap(one: Work, other: Work) -> bool:
    """Returns whether a request could match both kinds of work."""
    if not set(one.methods) & set(other.methods):
        return False
    one_segments = one.path.split("/")
    other_segments = other.path.split("/")
    if len(one_segments) != len(other_segments):
        return False
    return all(
        a == b or "{key}" in (a, b)
        for a, b in zip(one_segments, other_segments, strict=True)
    )


def parse(source: str) -> Contract:
    """Parses a contract from TOML.

    Raises:
        ContractError: The text is not a valid contract.
    """
    if len(source) > MAX_SOURCE_BYTES:
        raise ContractError(
            [f"contract: longer than {MAX_SOURCE_BYTES} bytes; shorten it"]
        )
    try:
        raw = tomllib.loads(source)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise ContractError([f"contract: not TOML: {error}"]) from error
    try:
        return Contract.model_validate(raw)
    except pydantic.ValidationError as error:
        raise ContractError([describe(e) for e in error.errors()]) from error


def describe(error: dict) -> str:
    """Returns one line that names the field and what it allows."""
    field = ".".join(str(part) for part in error["loc"]) or "contract"
    text = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        text = "unknown field; remove it or mend its name"
    value = error.get("input")
    if isinstance(value, (str, int, float, bool)):
        shown = repr(value)
        text += f" (got {shown[:MAX_SHOWN_CHARS]})"
    return f"{field}: {text}"


def credential_hash(credential: str) -> str:
    """Returns the SHA-256 of a credential, in hex."""
    return hashlib.sha256(credential.encode()).hexdigest()
