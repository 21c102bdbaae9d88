//! Conclusions from crashes of workers about the tasks that ran there.
//!
//! A task may crash every worker that starts it, and a worker may crash for reasons of its own. All
//! tasks on a crashed worker are suspects. The suspects of a job then run for some time on a worker without
//! other jobs, so that a further crash is most likely their own.

/// The number of crashes after which a task is given up, if only its own job ran on the workers, or on
/// the last one and earlier crashes may not have been counted.
const GIVE_UP_AFTER_ISOLATED_CRASHES: u32 = 2;
/// The number of crashes after which a task is given up, if only its own job ran on the last worker, or earlier
/// crashes may not have been counted. The first one may have come just after the task's run had ended, and the
/// second by chance.
const GIVE_UP_AFTER_CRASHES: u32 = 3;
/// The number of crashes after which a task is given up, whatever ran on the workers, if all crashes are counted.
const GIVE_UP_AFTER_SHARED_CRASHES: u32 = 4;
/// The number of crashes after which a task is given up, even if it isn't certain that its runs had
/// begun.
const GIVE_UP_AFTER_POSSIBLE_CRASHES: u32 = 5;

/// Counts the crashes of workers under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// The crashes soon after the start of a run of the task that was active.
    pub certain: u32,
    /// Those of them where only tasks of its job ran on the worker.
    pub isolated: u32,
    /// The crashes while a run was active or its start had no response.
    pub possible: u32,
    /// Those of them soon after the start of the run.
    pub early: u32,
}

impl CrashCounts {
    /// Counts a crash; `is_active` states whether the run was active, `is_early` whether it had just started, and
    /// `is_isolated` whether only tasks of its job ran on the worker.
    pub fn record(&mut self, is_active: bool, is_early: bool, is_isolated: bool) {
        let is_certain = is_active && is_early;
        self.possible += 1;
        self.early += u32::from(is_early);
        self.certain += u32::from(is_certain);
        self.isolated += u32::from(is_certain && is_isolated);
    }

    /// Returns whether the task is given up after a crash; `is_isolated` is as for [`Self::record`], and
    /// `may_lack_crashes` states whether earlier crashes may not have been counted.
    #[must_use]
    pub const fn is_given_up(&self, is_isolated: bool, may_lack_crashes: bool) -> bool {
        let limit = match (is_isolated, may_lack_crashes) {
            (true, true) => GIVE_UP_AFTER_ISOLATED_CRASHES,
            (true, false) => GIVE_UP_AFTER_CRASHES,
            (false, true) => GIVE_UP_AFTER_CRASHES,
            (false, false) => GIVE_UP_AFTER_SHARED_CRASHES,
        };
        self.isolated >= GIVE_UP_AFTER_ISOLATED_CRASHES
            || self.certain >= limit
            || self.possible >= GIVE_UP_AFTER_POSSIBLE_CRASHES
    }

    /// Returns whether a long-running task is given up. Its job is never shown as failed, so that a wrong conclusion
    /// loses the task.
    #[must_use]
    pub const fn is_long_running_given_up(&self) -> bool {
        self.early >= GIVE_UP_AFTER_POSSIBLE_CRASHES
    }
}
