// Cases of the third review. Usage: rig-3 CASE FOLDER, from the root of the repository.
// FOLDER is that of the case, in which record.txt is written.

#![allow(dead_code)]

mod base;
mod failing;
mod passed;
mod restarted;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = arguments.get(2).expect("folder of the case");
    base::begin_record(&format!("{folder}/record.txt"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let files = std::env::temp_dir().join(format!("lagoon-review-3-{}", std::process::id()));
    std::fs::create_dir_all(&files).unwrap();
    let files = files.to_str().unwrap().to_owned();
    let (is_broken, why) = match arguments[1].as_str() {
        "failing" => failing::run(&files, has_trouble),
        "passed" => passed::run(&files, has_trouble),
        "restarted" => restarted::run(&files, has_trouble),
        other => base::could_not_run(&format!("no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&files);
    }
    base::finish(is_broken, &why)
}
