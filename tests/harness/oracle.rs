//! A simple oracle over one or more reducers: it knows what must hold and nothing of how.
