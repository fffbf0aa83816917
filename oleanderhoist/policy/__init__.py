"""Policies: pure functions and state machines without I/O.

They serve two designs, whose types share some names (`Server`, `SlotRequest`):

* The router (`node`), one program on each edge VM that serves requests and may
  lead: balance, candidacy, cluster, contractset, keys, leaderlease, objectives,
  rates, slotqueue, storeclock. Its most urgent rank is 0.
* Entry and placer: capacity, choice, delegations, dispatch, leadership,
  placement, ratelimits, slotaccess, topology. An entry serves requests; the
  placers elect a leader, which assigns partitions to servers; the table is the
  key-value service in which they store their records. The most urgent rank is
  1.

Both use hashing, registry and retry.
"""
