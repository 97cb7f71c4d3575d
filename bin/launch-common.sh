# Sourced by the launch scripts: finds Java and builds the workspace on first use.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

need() {
	if ! command -v "$1" >/dev/null 2>&1; then
		echo "$(basename "$0"): '$1' is absent; install $2" >&2
		exit 3
	fi
}

jar_of() {
	ls "$root/$1/target/$1-"*-all.jar 2>/dev/null | head -n 1
}

build_if_missing() {
	need java "a Java 17 runtime or newer"
	if [ -z "$(jar_of "$1")" ]; then
		need mvn "Apache Maven 3.8 or newer (needed once, to build)"
		echo "$(basename "$0"): first use, building" >&2
		(cd "$root" && mvn -q -B -DskipTests -Dcheckstyle.skip package) >&2 || exit 3
	fi
}
