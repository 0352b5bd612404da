package org.tallycart.core.ini;

/**
 * A problem in an INI text.
 *
 * @param file name of the file
 * @param line line number, starting at 1; 0 if the problem has no line
 * @param column column number, starting at 1; 0 if the problem has no column
 * @param message description of the problem
 * @param hint hint for solving the problem; may be empty
 * @since 0.1
 */
public record Problem(String file, int line, int column, String message, String hint) {

	@Override
	public String toString() {
		String position = (this.line > 0) ? this.file + ":" + this.line + ":" + this.column : this.file;
		String text = position + ": " + this.message;
		return this.hint.isEmpty() ? text : text + " (" + this.hint + ")";
	}

}
