//! How far the store is known, and whether that is recent.

use std::time::Duration;

use cactuslane_types::Millis;
use log::warn;

use super::{Gateway, lock};
use crate::progress::Progress;

impl Gateway {
    /// Returns the time for which the instance may rely on its knowledge of the store: within the
    /// limits for configurations and for leaving targets.
    #[must_use]
    pub fn knowledge_limit(&self) -> Duration {
        let settings = self.settings();
        settings.apply_limit.min(settings.drain_limit)
    }

    /// Records how far the store is known, and logs when that becomes too old or recent again.
    pub fn observe_progress(&self, progress: &Progress) {
        let now = self.now();
        let limit = self.knowledge_limit().as_millis() as Millis;
        let entries_age = now.saturating_sub(progress.entries_seen);
        let document_age = now.saturating_sub(progress.document_seen);
        let is_old = entries_age.max(document_age) > limit;
        let mut known = lock(&self.progress);
        let was_old = known.is_some_and(|(_, was_old)| was_old);
        *known = Some((*progress, is_old));
        drop(known);
        if is_old != was_old {
            let (entries, document) = (progress.entries, progress.document);
            warn!(entries_age, document_age, limit, entries, document, is_old; "age of the store's picture");
        }
    }

    /// Returns whether the targets are known as of a time within [`Gateway::knowledge_limit`].
    #[must_use]
    pub fn is_recent(&self) -> bool {
        let known = self.progress();
        known.is_some_and(|known| known.is_recent(self.now(), self.knowledge_limit()))
    }

    /// Returns how far the store is known, once it was read.
    #[must_use]
    pub fn progress(&self) -> Option<Progress> {
        lock(&self.progress).map(|(progress, _)| progress)
    }
}
