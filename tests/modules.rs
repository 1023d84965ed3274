//! The imports of the modules in `src`: they have no cycles and match the module map of
//! `docs/DESIGN.md`.

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        path::{Path, PathBuf},
    },
    syn::{
        Item, UseTree,
        visit::{self, Visit},
    },
};

/// The modules of shared types, which any module may use without an entry in the map.
const SHARED: [&str; 5] = ["error", "ids", "messages", "time", "units"];
/// The modules that each module uses.
type Calls = BTreeMap<String, BTreeSet<String>>;

/// Collects the paths in one file, as paths from the crate's root.
struct Paths {
    module: Vec<String>,
    found: Vec<Vec<String>>,
}

impl Paths {
    /// Records a path if it starts in this crate.
    fn record(&mut self, path: &[String]) {
        let Some(first) = path.first() else { return };
        let supers = path.iter().take_while(|p| *p == "super").count();
        let (base, rest) = match first.as_str() {
            "crate" => (&[][..], &path[1..]),
            "self" => (&self.module[..], &path[1..]),
            // Assumes that `super` isn't used in a module nested in a file, where it would refer to
            // the file's own module.
            "super" if supers <= self.module.len() => {
                (&self.module[..self.module.len() - supers], &path[supers..])
            }
            _ => return,
        };
        self.found.push(base.iter().chain(rest).cloned().collect());
    }

    fn visit_tree(&mut self, tree: &UseTree, before: &[String]) {
        let with = |name: &syn::Ident| [before, &[name.to_string()]].concat();
        match tree {
            UseTree::Path(path) => self.visit_tree(&path.tree, &with(&path.ident)),
            UseTree::Name(name) => self.record(&with(&name.ident)),
            UseTree::Rename(name) => self.record(&with(&name.ident)),
            UseTree::Glob(_) => self.record(before),
            UseTree::Group(group) => group.items.iter().for_each(|t| self.visit_tree(t, before)),
        }
    }
}

impl<'a> Visit<'a> for Paths {
    fn visit_item_use(&mut self, item: &'a syn::ItemUse) {
        self.visit_tree(&item.tree, &[]);
    }

    fn visit_path(&mut self, path: &'a syn::Path) {
        let names: Vec<String> = path.segments.iter().map(|s| s.ident.to_string()).collect();
        self.record(&names);
        visit::visit_path(self, path);
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn read(path: &Path) -> syn::File {
    let text = fs::read_to_string(path).expect("a source");
    syn::parse_file(&text).expect("Rust")
}

/// The modules that the crate declares.
fn declared() -> BTreeSet<String> {
    let items = read(&root().join("lib.rs")).items;
    let mods = items.iter().filter_map(|i| match i {
        Item::Mod(m) => Some(m.ident.to_string()),
        _ => None,
    });
    mods.collect()
}

/// The names that the crate re-exports from its root, with the modules that define them.
fn reexported() -> BTreeMap<String, String> {
    let mut paths = Paths { module: vec![], found: vec![] };
    paths.visit_file(&read(&root().join("lib.rs")));
    let all = paths.found.into_iter().filter(|p| p.len() == 2);
    all.map(|p| (p[1].clone(), p[0].clone())).collect()
}

/// Collects the source files, each with its module's path.
fn sources(dir: &Path, module: &[String], out: &mut Vec<(Vec<String>, PathBuf)>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        let stem = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let inner = [module, std::slice::from_ref(&stem)].concat();
        match (path.is_dir(), stem.as_str()) {
            // Generated files are declared with a `path` attribute; `with_path_attribute` finds
            // them.
            (true, "gen") => {}
            (true, _) => sources(&path, &inner, out),
            (false, "lib" | "main") if module.is_empty() => {}
            (false, "mod") => out.push((module.to_vec(), path)),
            (false, _) => out.push((inner, path)),
        }
    }
}

/// The modules that the crate declares with a `path` attribute.
fn with_path_attribute() -> Vec<(Vec<String>, PathBuf)> {
    let mut out = vec![];
    for item in read(&root().join("lib.rs")).items {
        let Item::Mod(item) = item else { continue };
        for attr in &item.attrs {
            if let syn::Meta::NameValue(pair) = &attr.meta
                && pair.path.is_ident("path")
                && let syn::Expr::Lit(syn::ExprLit { lit: syn::Lit::Str(path), .. }) = &pair.value
            {
                out.push((vec![item.ident.to_string()], root().join(path.value())));
            }
        }
    }
    out
}

/// The paths that each module uses, from the crate's root.
fn paths() -> Vec<(Vec<String>, Vec<Vec<String>>)> {
    let mut all = with_path_attribute();
    sources(&root(), &[], &mut all);
    let names = reexported();
    let one = |(module, path): (Vec<String>, PathBuf)| {
        let mut paths = Paths { module: module.clone(), found: vec![] };
        paths.visit_file(&read(&path));
        for found in &mut paths.found {
            if let Some(home) = found.first().and_then(|f| names.get(f)) {
                found.insert(0, home.clone());
            }
        }
        (module, paths.found)
    };
    all.into_iter().map(one).collect()
}

/// The uses among the modules in `dir`; an empty `dir` means the modules of the crate's root.
fn calls(all: &[(Vec<String>, Vec<Vec<String>>)], dir: &[String]) -> Calls {
    let mut calls = Calls::new();
    let here = |p: &[String]| p.strip_prefix(dir).and_then(|rest| rest.first().cloned());
    let modules: BTreeSet<String> = all.iter().filter_map(|(m, _)| here(m)).collect();
    for (module, paths) in all {
        let Some(from) = here(module) else { continue };
        let to = paths.iter().filter_map(|p| here(p));
        let to = to.filter(|to| *to != from && modules.contains(to));
        calls.entry(from.clone()).or_default().extend(to);
    }
    calls
}

/// The modules that a module uses, directly or indirectly.
fn reachable(calls: &Calls, from: &str) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let mut next = vec![from.to_owned()];
    while let Some(module) = next.pop() {
        for to in calls.get(&module).into_iter().flatten() {
            if seen.insert(to.clone()) {
                next.push(to.clone());
            }
        }
    }
    seen
}

/// The modules that are part of a cycle.
fn in_cycle(calls: &Calls) -> Vec<&str> {
    calls.keys().map(String::as_str).filter(|m| reachable(calls, m).contains(*m)).collect()
}

/// The rows of the map: each module, and the modules that it may use.
fn map_rows() -> BTreeMap<String, BTreeSet<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/DESIGN.md");
    let text = fs::read_to_string(path).expect("the page");
    let (_, map) = text.split_once("## Module map").expect("the map");
    let (map, _) = map.split_once("\n## ").expect("an end of the map");
    let mut rows = BTreeMap::new();
    for line in map.lines().filter(|l| l.starts_with("| `")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').collect();
        let [modules, owns, calls] = cells[..] else { panic!("not three columns: {line}") };
        assert!(!owns.trim().is_empty(), "{modules} owns nothing");
        for module in names(modules) {
            assert!(rows.insert(module.clone(), names(calls)).is_none(), "{module} stands twice");
        }
    }
    rows
}

/// The names in backticks.
fn names(cell: &str) -> BTreeSet<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

// Guards against cyclic imports: a module in a cycle can't be moved or tested without the others,
// and it is unclear which of them makes a decision.
#[test]
fn no_modules_import_each_other_in_a_circle() {
    let all = paths();
    let crate_calls = calls(&all, &[]);
    assert!(crate_calls.len() > 50 && crate_calls["core"].contains("jobs"), "the imports are read");
    assert_eq!(in_cycle(&crate_calls), Vec::<&str>::new(), "of {crate_calls:#?}");
    let dirs: BTreeSet<&[String]> =
        all.iter().filter(|(m, _)| m.len() > 1).map(|(m, _)| &m[..m.len() - 1]).collect();
    for dir in dirs {
        let calls = calls(&all, dir);
        assert_eq!(in_cycle(&calls), Vec::<&str>::new(), "within {dir:?}: {calls:#?}");
    }
}

#[test]
fn the_module_map_names_every_module_and_what_it_calls() {
    let (map, calls) = (map_rows(), calls(&paths(), &[]));
    assert_eq!(map.keys().cloned().collect::<BTreeSet<_>>(), declared());
    for (module, to) in calls {
        let to: BTreeSet<String> =
            to.into_iter().filter(|m| !SHARED.contains(&m.as_str())).collect();
        assert_eq!(map[&module], to, "of {module}: the map, then the imports");
    }
}
