"""All faults by name."""

from soak import answerfaults
from soak import evacuationfaults
from soak import injector
from soak import platformfaults
from soak import processfaults
from soak import serverfaults

FAULTS = injector.FAULTS
# Drawn only if they are named: kept seeds draw from the others.
NAMED_ONLY = ("store-restored",)
# They register the faults.
MODULES = (
    answerfaults,
    evacuationfaults,
    platformfaults,
    processfaults,
    serverfaults,
)


def default_names() -> list[str]:
    """Returns the faults that are drawn unless some are named."""
    return [name for name in FAULTS.names() if name not in NAMED_ONLY]
