"""What the process of a sidecar that ends tells the one that takes over: frames, and the estate in them."""
