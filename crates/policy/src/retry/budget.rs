//! The budget of retries that an entry may add to the callers' requests.

/// Retries that a new budget holds, before any first attempt earns one.
pub const INITIAL_RETRIES: u32 = 10;

/// Most retries that a budget holds, for a failure of many engines at once.
pub const MAX_RETRIES: u32 = 100;

/// Retries that are reserved for failures.
pub const RESERVED_RETRIES: u32 = MAX_RETRIES / 2;

/// Units of the budget per retry, so that one percent of a retry is a whole number.
const UNITS_PER_RETRY: u64 = 100;

/// A token bucket of retries, filled by each first attempt by a percentage of one.
///
/// Any run of requests gets at most `percent` retries per 100 requests plus
/// `MAX_RETRIES`, or plus `INITIAL_RETRIES` if it begins with the process. So
/// refusals of many requests can't multiply an overload.
#[derive(Debug, Clone)]
pub struct Budget {
    units: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { units: u64::from(INITIAL_RETRIES) * UNITS_PER_RETRY }
    }
}

impl Budget {
    /// Counts a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        let max_units = u64::from(MAX_RETRIES) * UNITS_PER_RETRY;
        self.units = (self.units + u64::from(percent)).min(max_units);
    }

    /// Returns whether the budget holds at least the reserve for failures, so that
    /// retries may also be spent on trying a better engine first.
    pub fn has_surplus(&self) -> bool {
        self.units >= u64::from(RESERVED_RETRIES) * UNITS_PER_RETRY
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(rest) => {
                self.units = rest;
                true
            }
            None => false,
        }
    }
}
