//! Which target serves a line of calls, and so keeps its prompt.

use lagoon_ids::{hash64, FastMap};

use crate::news::{LineNews, LineTag, TargetTag};
use crate::request::Facts;

/// Time without a call after which a line is forgotten.
const SILENT_MS: u64 = 60_000;

/// Lines that are known at most: those of 140,000 programs.
const MOST: usize = 150_000;

#[derive(Clone, Copy, Debug)]
struct Line {
    target: TargetTag,
    used_ms: u64,
}

/// Lines of calls that came through this VM, or that others told of.
#[derive(Debug, Default)]
pub struct Lines {
    lines: FastMap<LineTag, Line>,
    news: Vec<LineNews>,
}

fn tag(name: &str) -> LineTag {
    LineTag(hash64(name.as_bytes()) as u32)
}

impl Lines {
    /// Target that served the request's line last. A new line of a program
    /// begins with the prompt of the line that spawned it, so its target is
    /// the one of the program's first line.
    pub fn last(&self, facts: &Facts) -> Option<TargetTag> {
        let program = facts.program.as_deref().map(tag);
        [Some(tag(facts.subject())), program]
            .into_iter()
            .flatten()
            .find_map(|line| self.lines.get(&line))
            .map(|line| line.target)
    }

    /// Takes note that a target serves the request; it is news if other VMs
    /// would not expect it there.
    pub fn served(&mut self, facts: &Facts, target: TargetTag, now_ms: u64) {
        let line = tag(facts.subject());
        if self.last(facts) != Some(target) {
            self.news.push(LineNews { line, target });
            self.insert(line, target, now_ms);
        } else if let Some(known) = self.lines.get_mut(&line) {
            known.used_ms = now_ms;
        }
    }

    /// Takes in what another VM tells.
    pub fn take(&mut self, news: &[LineNews], now_ms: u64) {
        for told in news {
            self.insert(told.line, told.target, now_ms);
        }
    }

    /// What other VMs should know since this was asked last.
    pub fn news(&mut self) -> Vec<LineNews> {
        std::mem::take(&mut self.news)
    }

    /// Forgets lines that are long silent.
    pub fn sweep(&mut self, now_ms: u64) {
        self.lines
            .retain(|_, line| now_ms < line.used_ms + SILENT_MS);
    }

    /// Lines that are known.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no line is known.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn insert(&mut self, line: LineTag, target: TargetTag, used_ms: u64) {
        if self.lines.len() < MOST || self.lines.contains_key(&line) {
            self.lines.insert(line, Line { target, used_ms });
        }
    }
}
