#!/usr/bin/env python3
"""Runs clang-tidy over the sources, or over the files given.

A source that passed before is skipped while it and the project headers it includes are unchanged.
Stamps are kept in a cache folder shared by all work trees.
"""
import concurrent.futures
import hashlib
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD", "build"))
CACHE = pathlib.Path(os.environ.get("HYSSOPRAIL_CACHE", pathlib.Path.home() / ".cache/hyssoprail")) / "lint"
INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.MULTILINE)


def tracked_sources():
    out = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "--", "src/*.cpp", "platform/*.cpp", "examples/*.cpp", "bench/*.cpp",
         "fuzz/*.cpp"],
        cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()
    return [f for f in out if not f.endswith(".pb.cc") and (ROOT / f).exists()]


def closure(path, seen):
    """Collects a source and the project headers it includes, directly or not."""
    if path in seen or not path.exists():
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text(errors="replace")):
        for base in (ROOT / "include", ROOT / "src", path.parent):
            closure((base / name).resolve(), seen)


def key(source):
    seen = set()
    closure((ROOT / source).resolve(), seen)
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for path in sorted(seen):
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def lint(source):
    stamp = CACHE / key(source)
    if stamp.exists():
        return None
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(BUILD), source],
                         cwd=ROOT, capture_output=True, text=True, check=False)
    if run.returncode == 0:
        stamp.touch()
        return None
    return f"lint failed: {source}\n{run.stdout}"


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    sources = sys.argv[1:] or tracked_sources()
    jobs = int(os.environ.get("LINT_JOBS", "8"))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        failures = [text for text in pool.map(lint, sources) if text]
    print("\n".join(failures) if failures else f"lint: {len(sources)} files clean")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
