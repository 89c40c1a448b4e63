"""Detection of crashes of the local target, and reports of them."""
