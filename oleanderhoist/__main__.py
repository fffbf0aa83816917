"""Runs the operator's command line as ``python -m oleanderhoist``."""

from oleanderhoist.cli import operator

if __name__ == "__main__":
    operator.main()
