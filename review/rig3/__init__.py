"""Stand-ins of the third review: store, servers, clients and the relays' platform."""
