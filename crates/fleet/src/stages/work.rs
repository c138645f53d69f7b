//! The work of a service, by what it is of.

/// Decode engines read short prompts themselves for up to this share of their time; beyond it the pauses show in their
/// streams, and prefill engines read the rest.
pub const DECODE_READING_SHARE: f64 = 0.1;
/// A decode engine reads prompts at this share of a prefill engine's pace.
pub(crate) const DECODE_READ_PACE: f64 = 0.5;

/// Work of one service, in engine-seconds a second. What each stage is wanted for counts there, wherever it was done: a
/// full stage spills into the other, which must not look as if that were its own work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageWork {
    /// Reading long prompts.
    pub prefill: f64,
    /// Reading short prompts, at the pace of prefill engines.
    pub short_reading: f64,
    /// Generating.
    pub decode: f64,
    /// Reading that decode engines really do.
    pub decode_reading: f64,
    /// Slots that streams hold, in engines.
    pub slots: f64,
}

impl StageWork {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.short_reading += other.short_reading;
        self.decode += other.decode;
        self.decode_reading += other.decode_reading;
        self.slots += other.slots;
    }

    /// This work, so many times.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            short_reading: self.short_reading * factor,
            decode: self.decode * factor,
            decode_reading: self.decode_reading * factor,
            slots: self.slots * factor,
        }
    }

    /// All work.
    #[must_use]
    pub fn total(self) -> f64 {
        self.prefill + self.short_reading + self.decode
    }

    /// Work of each stage where so many engines decode: prefill engines read the short prompts that these have no time
    /// for.
    pub(super) fn by_stage(self, decode_engines: usize) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
        let time_for_reading = DECODE_READING_SHARE * decode_engines as f64;
        let read_there = (self.short_reading / DECODE_READ_PACE).min(time_for_reading);
        let read_apart = self.short_reading - read_there * DECODE_READ_PACE;
        (self.prefill + read_apart, self.decode + read_there)
    }
}
