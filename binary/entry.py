"""Entry point of the single-file executable."""

from buckthornshed.cli.main import main

main()
