"""Client of the administration API."""

import asyncio
import dataclasses
import json
import typing

from oleanderhoist import codes
from oleanderhoist import console
from oleanderhoist import exits
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages

TIMEOUT_SECONDS = 10.0
MAX_REDIRECTS = 3

_EXIT_STATUSES = {
    codes.ADMIN_DENIED.number: exits.ExitStatus.USAGE,
    codes.CONTRACT_INVALID.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_UNHONOURABLE.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_CREDENTIAL_TAKEN.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_CONFLICT.number: exits.ExitStatus.CONFLICT,
    codes.CONTRACT_UNCONFIRMED.number: exits.ExitStatus.UNKNOWN,
    codes.NO_LEADER.number: exits.ExitStatus.UNAVAILABLE,
    codes.TABLE_UNAVAILABLE.number: exits.ExitStatus.UNAVAILABLE,
    codes.PLACER_STOPPING.number: exits.ExitStatus.UNAVAILABLE,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdminClient:
    """Calls the administration API of any placer.

    Attributes:
        addresses: Placers to try in turn.
        token: The operators' token.
    """

    addresses: tuple[client.Address, ...]
    token: str

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        base_version: int | None = None,
    ) -> typing.Any:
        """Performs one call, following redirects to the leader.

        Args:
            method: HTTP method.
            path: Route.
            body: Request body.
            base_version: Version that a change is based on.

        Returns:
            The decoded JSON of the response.

        Raises:
            UserError: No placer answered, or the call was refused.
        """
        response = asyncio.run(self.exchange(method, path, body, base_version))
        value = json.loads(response.body) if response.body else {}
        if response.status < 300:
            return value
        raise to_error(value)

    async def exchange(
        self, method: str, path: str, body: bytes, base_version: int | None
    ) -> messages.Response:
        """Tries each placer until one answers.

        Raises:
            UserError: No placer answered, or a change's response was lost.
        """
        last_error = "no address was given"
        for address in self.addresses:
            try:
                return await self.follow(
                    address, method, path, body, base_version
                )
            except exchanges.ExchangeError as error:
                last_error = f"{address}: {error}"
                if error.maybe_sent and method == "PUT":
                    raise console.UserError(
                        f"the response was lost: {last_error}",
                        status=exits.ExitStatus.UNKNOWN,
                        advice="run 'oleander contract history' to see "
                        "whether the change was accepted",
                    ) from error
        raise console.UserError(
            f"no placer answered: {last_error}",
            status=exits.ExitStatus.UNAVAILABLE,
            advice="check --api or OLEANDER_API, then try again",
        )

    async def follow(
        self,
        address: client.Address,
        method: str,
        path: str,
        body: bytes,
        base_version: int | None,
    ) -> messages.Response:
        """Performs one exchange, following redirects to the leader."""
        headers = [(b"authorization", f"Bearer {self.token}".encode())]
        if base_version is not None:
            headers.append((b"if-match", b'"%d"' % base_version))
        for _ in range(MAX_REDIRECTS):
            response = await client.Client(address=address).request(
                method,
                path,
                timeout=TIMEOUT_SECONDS,
                headers=headers,
                body=body,
            )
            if response.status != 307:
                return response
            location = messages.find(response.headers, b"location") or ""
            host = location.removeprefix("http://").partition("/")[0]
            address = client.Address.parse(host)
        raise exchanges.ExchangeError(
            "too many redirects: the leader is changing", maybe_sent=False
        )


def to_error(document: dict) -> console.UserError:
    """Converts a problem document to an error for the operator."""
    number = document.get("code", 0)
    return console.UserError(
        f"{number} {document.get('title', 'unexpected response')}",
        status=_EXIT_STATUSES.get(number, exits.ExitStatus.ERROR),
        advice=document.get("advice", ""),
        details=document.get("details") or [document.get("detail", "")],
    )
