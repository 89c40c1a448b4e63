"""Translation between the users' platform and the product.

Names, formats and calls of the platform stand here and nowhere else. Nothing in this
package decides: it decodes settings, the store's items and headers into the product's
types, once.
"""
