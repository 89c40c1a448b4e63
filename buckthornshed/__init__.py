"""Overload control for service call graphs.

The package holds node processes that stand beside targets, and the decisions
they make as a library with no input or output of its own.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
