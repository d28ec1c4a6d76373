"""The implementation; nothing here is a public interface."""
