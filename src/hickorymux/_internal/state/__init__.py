"""Tables, log folds and counters: plain state and its pure rules."""
