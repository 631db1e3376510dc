//! The retry budget: second attempts as a share of fresh work.

/// Attempts that one request may have in all.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retries earned by each fresh request.
const SHARE: f64 = 0.2;
/// Retries that may be saved up.
const MOST: f64 = 20.0;

/// The budget of one box.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MOST }
    }
}

impl Budget {
    /// Notes a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(MOST);
    }

    /// Takes one retry where the budget has one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
