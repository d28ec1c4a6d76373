"""A small fleet on one machine: started, used, drained, stopped, judged."""
