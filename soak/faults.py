"""All faults by name."""

from soak import answerfaults
from soak import evacuationfaults
from soak import injector
from soak import platformfaults
from soak import processfaults
from soak import serverfaults

FAULTS = injector.FAULTS
# They register the faults.
MODULES = (
    answerfaults,
    evacuationfaults,
    platformfaults,
    processfaults,
    serverfaults,
)
