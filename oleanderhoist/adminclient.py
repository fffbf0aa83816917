"""Client of the administration API."""

import asyncio
import dataclasses
import json
import typing

from oleanderhoist import codes
from oleanderhoist import console
from oleanderhoist import exits
from oleanderhoist.http import client
from oleanderhoist.http import messages

TIMEOUT_SECONDS = 10.0
MAX_REDIRECTS = 3

_EXITS = {
    codes.ADMIN_DENIED.number: exits.ExitStatus.USAGE,
    codes.CONTRACT_INVALID.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_UNHONOURABLE.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_CREDENTIAL_TAKEN.number: exits.ExitStatus.REFUSED,
    codes.CONTRACT_CONFLICT.number: exits.ExitStatus.CONFLICT,
    codes.CONTRACT_UNCONFIRMED.number: exits.ExitStatus.UNKNOWN,
    codes.NO_LEADER.number: exits.ExitStatus.UNAVAILABLE,
    codes.TABLE_UNAVAILABLE.number: exits.ExitStatus.UNAVAILABLE,
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
        base: int | None = None,
    ) -> typing.Any:
        """Performs one call, following the way to the leader.

        Args:
            method: HTTP method.
            path: Route.
            body: Request body.
            base: Version that a change starts from.

        Returns:
            The answer's JSON.

        Raises:
            UserError: No placer answered, or the call was refused.
        """
        response = asyncio.run(self.exchange(method, path, body, base))
        value = json.loads(response.body) if response.body else {}
        if response.status < 300:
            return value
        raise to_error(value)

    async def exchange(
        self, method: str, path: str, body: bytes, base: int | None
    ) -> messages.Response:
        """Tries each placer until one answers."""
        last = "no address was given"
        for address in self.addresses:
            try:
                return await self.follow(address, method, path, body, base)
            except client.ExchangeError as error:
                last = f"{address}: {error}"
                if error.maybe_sent and method == "PUT":
                    raise console.UserError(
                        f"the answer was lost: {last}",
                        status=exits.ExitStatus.UNKNOWN,
                        advice="run 'oleander contract history' to see "
                        "whether the change was accepted",
                    ) from error
        raise console.UserError(
            f"no placer answered; {last}",
            status=exits.ExitStatus.UNAVAILABLE,
            advice="check --api or OLEANDER_API, then try again",
        )

    async def follow(
        self,
        address: client.Address,
        method: str,
        path: str,
        body: bytes,
        base: int | None,
    ) -> messages.Response:
        """Performs one exchange and goes on to the leader when told."""
        headers = [(b"authorization", f"Bearer {self.token}".encode())]
        if base is not None:
            headers.append((b"if-match", b'"%d"' % base))
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
            where = messages.find(response.headers, b"location") or ""
            host = where.removeprefix("http://").partition("/")[0]
            address = client.Address.parse(host)
        raise client.ExchangeError("the leader changes", maybe_sent=False)


def to_error(document: dict) -> console.UserError:
    """Returns a problem document as an error for the operator."""
    number = document.get("code", 0)
    return console.UserError(
        f"{number} {document.get('title', 'unexpected answer')}",
        status=_EXITS.get(number, exits.ExitStatus.ERROR),
        advice=document.get("advice", ""),
        details=document.get("details") or [document.get("detail", "")],
    )
