//! Processor time and memory of processes are read as the kernel states them.

use std::time::Duration;

use cactuslane_soak::process::usage::{ProcessUsage, parse_memory, parse_time};

#[test]
fn processor_time_is_that_of_user_and_system() {
    let text = "71 (a name) b) S 1 71 71 0 -1 4194304 90 0 0 0 250 50 7 8 20 0 9 0 100";
    assert_eq!(parse_time(text), Some(Duration::from_secs(3)));
    assert_eq!(parse_time("71 (a name) S 1"), None);
}

#[test]
fn memory_is_what_is_resident() {
    let text = "Name:\ta\nVmHWM:\t  900 kB\nVmRSS:\t  512 kB\nThreads:\t3\n";
    assert_eq!(parse_memory(text), Some(512 << 10));
    assert_eq!(parse_memory("Name:\ta\n"), None);
}

#[test]
fn figures_of_processes_that_follow_each_other_add_up() {
    let mut usage = ProcessUsage::default();
    usage.read(Some(std::process::id()));
    assert!(usage.memory > 0);
    let time = usage.cpu_time();
    usage.read(None);
    assert_eq!((usage.processes, usage.memory), (1, 0));
    usage.read(Some(u32::MAX));
    assert_eq!((usage.processes, usage.memory), (2, 0));
    assert!(usage.cpu_time() >= time);
}
