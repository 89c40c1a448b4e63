"""Overload control for service call graphs.

The package contains the node process, a sidecar that runs next to each target,
and the library that makes its decisions. The library performs no input or output.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
