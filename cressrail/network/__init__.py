"""Sockets: clients' side, connections to endpoints, the watch; the reducer's effects are carried out here."""
