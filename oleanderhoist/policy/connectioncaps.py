"""How many idle connections a router keeps to one server.

The load is one of many routers beside servers that accept few connections each.
What all routers keep open for reuse would use up what a server accepts, and it
would reset the next new connection with a request on it, whose outcome is then
unknown. No router knows the connections of the others, so each keeps an equal
share of what running requests leave.
"""

# Of what a server accepts; it may accept fewer while it is busy.
USABLE_FRACTION = 0.8
RESERVED = 4  # For leases, and for the last connections of ended routers.


def max_idle(*, accepted: int, slots: int, routers: int) -> int:
    """Returns how many idle connections one router may keep to a server.

    A router uses its idle connections first, so the running requests need room
    beside the idle connections of the other routers only.

    Args:
        accepted: Connections that the server accepts from all together.
        slots: Requests that it runs concurrently; each has a connection, and
            so has the one that waits there.
        routers: Number of routers.
    """
    usable = max(0, int(accepted * USABLE_FRACTION) - RESERVED)
    others = max(1, routers) - 1
    if not others:
        return usable
    beside_running = max(0, usable - (slots + 1)) // others
    return min(usable // (others + 1), beside_running)
