"""Experiments: arms played in turns with the same seeds, judged, compared in pairs and reported."""
