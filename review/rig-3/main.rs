// Cases of the third review. Usage: rig CASE FOLDER with|without, from the root of the
// repository. FOLDER is that of the case, in which record.txt is written; the last word says
// whether the disruption takes place. run.sh of the case reads TROUBLE and passes it.

#![allow(dead_code)]

mod base;
mod failing;
mod passed;
mod restarted;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = arguments.get(2).expect("folder of the case");
    base::begin_record(&format!("{folder}/record.txt"));
    let has_trouble = match arguments.get(3).map(String::as_str) {
        Some("with") => true,
        Some("without") => false,
        _ => base::could_not_run("neither `with` nor `without` the disruption"),
    };
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
