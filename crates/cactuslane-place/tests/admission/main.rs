//! Callers who compete for too little room: the rules, and what callers get of them under load.

mod load;
mod rules;
mod world;
