//! Work of a service by kind.

/// Share of time that decode engines may spend on short prompts. Beyond it the gaps of their
/// streams become noticeable, and prefill engines process the rest.
pub const DECODE_READING_SHARE: f64 = 0.1;
/// Share of a slot's capacity that a stream uses; the streams of a batch share each decode step.
pub(crate) const STREAM_SLOT_WEIGHT: f64 = 0.3;
/// Prefill speed of a decode engine relative to a prefill engine.
pub(crate) const DECODE_READ_SPEED_RATIO: f64 = 0.5;

/// Work of one service, in engine-seconds per second. Work is attributed to the stage that should
/// perform it: a full stage offloads to the other, which must not appear as demand for the other
/// stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageWork {
    /// Prefill of long prompts.
    pub prefill: f64,
    /// Prefill of short prompts, at the speed of prefill engines.
    pub short_reading: f64,
    /// Decoding.
    pub decode: f64,
    /// Prefill that decode engines actually perform.
    pub decode_reading: f64,
    /// Slots held by streams, as a number of engines.
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

    /// Multiplies all kinds of work by `factor`.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            short_reading: self.short_reading * factor,
            decode: self.decode * factor,
            decode_reading: self.decode_reading * factor,
            slots: self.slots * factor,
        }
    }

    /// Total prefill and decode work.
    #[must_use]
    pub fn total(self) -> f64 {
        self.prefill + self.short_reading + self.decode
    }

    /// Work of the prefill and the decode stage with this many decode engines: prefill engines
    /// process the short prompts for which the decode engines have no time.
    pub(super) fn by_stage(self, decode_engines: usize) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
        let time_for_reading = DECODE_READING_SHARE * decode_engines as f64;
        let read_at_decode = (self.short_reading / DECODE_READ_SPEED_RATIO).min(time_for_reading);
        let read_at_prefill = self.short_reading - read_at_decode * DECODE_READ_SPEED_RATIO;
        (self.prefill + read_at_prefill, self.decode + read_at_decode)
    }
}
