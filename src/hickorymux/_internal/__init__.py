"""The implementation; nothing in it is a public interface."""
