"""A request router for servers that own keys exclusively.

The package holds two systems with modules of the same names:

* oleander-router, one program on each VM: `node` and `platform`, on the
  platform's row store.
* oleander-entry and oleander-placer: `entry`, `placer`, `peers` and `clients`,
  on the platform's table service.
"""

__version__ = "0.1.0"
