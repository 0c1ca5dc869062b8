"""Stand-in tiers: endpoints, discovery and real sidecars between them, with faults on a timeline and ledgers
of all that ran."""
