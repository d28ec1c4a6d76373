"""Tables, log folds and counters: state and logic without I/O."""
