//! Isolates an instance while it is promoted.

/// Whether an instance is isolated while it is promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateIsolation {
    /// None is.
    Off,
    /// The next one that the platform accepts will be.
    Next,
    /// The one with this index is, until the platform accepts another one.
    Isolated(usize),
}

/// What a promotion that the platform has accepted changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationChange {
    /// Nothing.
    None,
    /// The instance with this index is isolated.
    Begins(usize),
    /// The instance with this index is not isolated any more.
    Ends(usize),
}

impl CandidateIsolation {
    /// The platform has accepted to promote the instance with this index.
    pub fn promotion_accepted(&mut self, index: usize) -> IsolationChange {
        match *self {
            CandidateIsolation::Next => {
                *self = CandidateIsolation::Isolated(index);
                IsolationChange::Begins(index)
            }
            CandidateIsolation::Isolated(before) if before != index => {
                *self = CandidateIsolation::Off;
                IsolationChange::Ends(before)
            }
            CandidateIsolation::Isolated(_) | CandidateIsolation::Off => IsolationChange::None,
        }
    }

    /// The time of the instance with this index is over; whether it was isolated.
    pub fn end(&mut self, index: usize) -> bool {
        let was_isolated = *self == CandidateIsolation::Isolated(index);
        if was_isolated {
            *self = CandidateIsolation::Off;
        }
        was_isolated
    }
}
